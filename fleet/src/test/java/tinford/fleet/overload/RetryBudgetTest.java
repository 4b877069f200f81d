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
    private static final double RETRY_RATIO = 0.1;
    private static final int RUNS = 60;

    /**
     * Records are lost, duplicated, outdated and reordered, and gateways restart: together the
     * gateways must never send more retries than the ratio allows.
     */
    @Test
    public void retriesOfAllGatewaysNeverExceedTheFleetBudget() {
        int runsWithCededRetries = 0;
        for (int seed = 0; seed < RUNS; seed++) {
            runsWithCededRetries += new RandomFleet(seed).run() ? 1 : 0;
        }
        assertTrue(
                runsWithCededRetries > 30,
                "the gateway with failures sent more retries than its own budget allows in "
                        + runsWithCededRetries
                        + " of 60 runs");
    }

    /** Gateways that receive random records of each other; only gateway 0 has failures. */
    private static final class RandomFleet {
        private final int seed;
        private final Random random;
        private final int gateways;
        private final RetryBudget[] budgets;
        private final Incarnation[] incarnations;
        private final List<List<GossipRecord>> records = new ArrayList<>();
        private double firstAttempts;
        private double retries;
        private double firstAttemptsOfFailing;
        private double retriesOfFailing;

        RandomFleet(int seed) {
            this.seed = seed;
            random = new Random(seed);
            gateways = 2 + random.nextInt(8);
            budgets = new RetryBudget[gateways];
            incarnations = new Incarnation[gateways];
            for (int gateway = 0; gateway < gateways; gateway++) {
                budgets[gateway] = new RetryBudget(RETRY_RATIO, random);
                incarnations[gateway] = new Incarnation(gateway, 1);
                records.add(new ArrayList<>());
            }
        }

        /**
         * Returns whether the gateway with failures sent more retries than its own budget allows.
         */
        boolean run() {
            for (int round = 1; round < 300; round++) {
                int gateway = random.nextInt(gateways);
                if (random.nextInt(60) == 0) {
                    incarnations[gateway] = new Incarnation(gateway, round + 1);
                    budgets[gateway] = new RetryBudget(RETRY_RATIO, random);
                }
                budgets[gateway].update(round * 200, incarnations[gateway], received(gateway));
                sendFirstAttempts(gateway);
                sendRetries(gateway);
                records.get(gateway).add(record(gateway, round));
                assertTrue(
                        retries <= RETRY_RATIO * firstAttempts + 1e-6,
                        "seed " + seed + ": " + retries + " of " + firstAttempts);
            }
            return retriesOfFailing > RETRY_RATIO * firstAttemptsOfFailing + 1;
        }

        /** Returns a membership with any earlier record of some of the other gateways. */
        private FixedMembership received(int gateway) {
            FixedMembership membership = new FixedMembership(gateways);
            for (int peer = 0; peer < gateways; peer++) {
                List<GossipRecord> sent = records.get(peer);
                if (peer != gateway && !sent.isEmpty() && random.nextInt(3) > 0) {
                    membership.add(sent.get(random.nextInt(sent.size())));
                }
            }
            return membership;
        }

        private void sendFirstAttempts(int gateway) {
            for (int i = random.nextInt(gateway == 0 ? 5 : 80); i > 0; i--) {
                budgets[gateway].attemptSent(false);
                firstAttempts++;
                firstAttemptsOfFailing += gateway == 0 ? 1 : 0;
            }
        }

        private void sendRetries(int gateway) {
            while (budgets[gateway].level() >= 1 && (gateway == 0 || random.nextInt(9) == 0)) {
                budgets[gateway].attemptSent(true);
                retries++;
                retriesOfFailing += gateway == 0 ? 1 : 0;
            }
        }

        private GossipRecord record(int gateway, int round) {
            GossipRecord record = new GossipRecord(incarnations[gateway], round);
            record.firstAttempts = 100;
            record.failed = gateway == 0 ? 80 : 0;
            budgets[gateway].writeTo(record);
            return record;
        }
    }

    @Test
    public void faultyGatewayCedesAtMostTwiceAMedianShare() {
        RetryBudget budget = new RetryBudget(RETRY_RATIO, new Random(1));
        Incarnation own = new Incarnation(1, 1);
        double retries = 0;
        for (int nowMs = 0; nowMs <= 10_000; nowMs += 100) {
            GossipRecord faulty = new GossipRecord(new Incarnation(2, 1), nowMs);
            faulty.firstAttempts = 100;
            faulty.retriesCededTo = own;
            faulty.retriesCeded = 1e9 + nowMs;
            budget.update(nowMs, own, new FixedMembership(2).add(faulty));
            while (budget.level() >= 1) {
                budget.attemptSent(true);
                retries++;
            }
        }
        assertTrue(retries <= 10 * 2 * RETRY_RATIO * 100 + 21 && retries > 0, "retries " + retries);
    }

    @Test
    public void retryOfAnAttemptThatNeverRanIsFree() {
        RetryBudget budget = new RetryBudget(RETRY_RATIO, new Random(1));
        for (int i = 0; i < 10; i++) {
            budget.attemptSent(false);
        }
        double before = budget.level();
        budget.attemptNeverRan();
        budget.attemptSent(true);
        assertEquals(budget.level(), before);
        budget.attemptSent(true);
        assertTrue(budget.level() < before);
    }
}
