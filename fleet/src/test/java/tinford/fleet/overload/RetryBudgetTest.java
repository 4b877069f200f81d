package tinford.fleet.overload;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;
import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Incarnation;

/** A gateway's part of the fleet's retry budget. */
public class RetryBudgetTest {
    private static final double PART = 0.1;

    /**
     * Records lost, doubled, old, mixed, and gateways that start anew: what all send further never
     * exceeds the part of the whole.
     */
    @Test
    public void retriesOfAllGatewaysNeverExceedTheFleetBudget() {
        int helped = 0;
        for (int drawn = 0; drawn < 60; drawn++) {
            Random chance = new Random(drawn);
            int n = 2 + chance.nextInt(8);
            RetryBudget[] all = new RetryBudget[n];
            Incarnation[] incarnations = new Incarnation[n];
            List<List<GossipRecord>> told = new ArrayList<>();
            double[] own = new double[n], spent = new double[n];
            for (int g = 0; g < n; g++) {
                all[g] = new RetryBudget(PART, chance);
                incarnations[g] = new Incarnation(g, 1);
                told.add(new ArrayList<>());
            }
            double first = 0, further = 0;
            for (int round = 1; round < 300; round++) {
                int g = chance.nextInt(n);
                if (chance.nextInt(60) == 0) {
                    incarnations[g] = new Incarnation(g, round + 1);
                    all[g] = new RetryBudget(PART, chance);
                }
                FixedMembership heard = new FixedMembership(n);
                for (int p = 0; p < n; p++) {
                    if (p != g && !told.get(p).isEmpty() && chance.nextInt(3) > 0)
                        heard.add(told.get(p).get(chance.nextInt(told.get(p).size())));
                }
                all[g].update(round * 200, incarnations[g], heard);
                for (int i = chance.nextInt(g == 0 ? 5 : 80); i > 0; i--) {
                    all[g].attemptSent(false);
                    first++;
                    own[g]++;
                }
                while (all[g].level() >= 1 && (g == 0 || chance.nextInt(9) == 0)) {
                    all[g].attemptSent(true);
                    further++;
                    spent[g]++;
                }
                GossipRecord s = new GossipRecord(incarnations[g], round);
                s.firstAttempts = 100;
                s.failed = g == 0 ? 80 : 0;
                all[g].writeTo(s);
                told.get(g).add(s);
                assertTrue(
                        further <= PART * first + 1e-6,
                        "drawn " + drawn + ": " + further + " of " + first);
            }
            if (spent[0] > PART * own[0] + 1) helped++;
        }
        assertTrue(
                helped > 30,
                "who saw failures got more than an even slice in " + helped + " of 60");
    }

    @Test
    public void lyingGatewayCedesAtMostTwiceAMedianShare() {
        RetryBudget f = new RetryBudget(PART, new Random(1));
        Incarnation own = new Incarnation(1, 1);
        double got = 0;
        for (int t = 0; t <= 10_000; t += 100) {
            GossipRecord lie = new GossipRecord(new Incarnation(2, 1), t);
            lie.firstAttempts = 100;
            lie.retriesCededTo = own;
            lie.retriesCeded = 1e9 + t;
            f.update(t, own, new FixedMembership(2).add(lie));
            for (; f.level() >= 1; got++) f.attemptSent(true);
        }
        assertTrue(got <= 10 * 2 * PART * 100 + 21 && got > 0, "got " + got);
    }

    @Test
    public void retryOfAnAttemptThatNeverRanIsFree() {
        RetryBudget f = new RetryBudget(PART, new Random(1));
        for (int i = 0; i < 10; i++) f.attemptSent(false);
        double before = f.level();
        f.attemptNeverRan();
        f.attemptSent(true);
        assertEquals(f.level(), before);
        f.attemptSent(true);
        assertTrue(f.level() < before);
    }
}
