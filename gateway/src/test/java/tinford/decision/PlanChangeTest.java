package tinford.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.api.Plan;
import tinford.api.Request;
import tinford.api.RequestClass;
import tinford.api.Tenant;

/**
 * A customer moves to another plan in mid-window: what it has used counts under the new one, at one
 * gateway and at several that learn of the change at different moments.
 */
public class PlanChangeTest {
    private static final RequestClass READ =
            DecisionFixture.frontend(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
    private static final double START = 1_700_000_000_000.0;
    private static final double STEP = 20;
    private static final long CUSTOMER = 5;

    /** Requests that are judged at one moment may each pass by less than a unit. */
    private static final double ROUNDING = 1;

    /** Gateways on one counter, whose customer asks for a unit at each of them at every step. */
    private static final class Site {
        final List<DecisionFixture> gateways = new ArrayList<>();
        final Tenant[] customers;
        final Map<Long, Double> counter = new HashMap<>();
        double now = START;
        int passed;

        Site(int size, Plan plan) {
            customers = new Tenant[size];
            for (int g = 0; g < size; g++) {
                DecisionFixture bed =
                        new DecisionFixture(DecisionFixture.limits(false), true, false, size);
                bed.now = now;
                bed.list("s1", "s2", "s3");
                gateways.add(bed);
                customers[g] = new Tenant(CUSTOMER, plan, size, 0, 1);
            }
        }

        void move(int gateway, Plan to) {
            long next = customers[gateway].revision + 1;
            customers[gateway] = new Tenant(CUSTOMER, to, gateways.size(), 0, next);
            gateways.get(gateway).play(in -> in.plansChanged(Set.of(to)));
        }

        void moveAll(Plan to) {
            for (int g = 0; g < customers.length; g++) {
                move(g, to);
            }
        }

        void step(boolean asks) {
            now += STEP;
            for (int g = 0; g < customers.length; g++) {
                DecisionFixture bed = gateways.get(g);
                bed.now = now;
                settle(bed, bed.play(in -> in.timerFired(1)));
                if (asks) {
                    ask(g, 1);
                }
            }
        }

        void run(double ms, boolean asks) {
            for (double end = now + ms; now < end; ) {
                step(asks);
            }
        }

        boolean ask(int gateway, double units) {
            DecisionFixture bed = gateways.get(gateway);
            Request req = bed.req(customers[gateway], READ, units);
            boolean passes = settle(bed, bed.play(in -> in.requestArrived(req))) > 0;
            if (passes) {
                passed++;
                settle(bed, bed.ends(req, 0, AttemptOutcome.SUCCESS, true));
            }
            return passes;
        }

        /** The counter answers at once; returns the dispatches. */
        private int settle(DecisionFixture bed, List<String> said) {
            int dispatches = 0;
            for (List<String> now = new ArrayList<>(said); !now.isEmpty(); ) {
                dispatches += (int) DecisionFixture.count(now, "dispatch");
                now = new ArrayList<>(answer(bed, now));
            }
            return dispatches;
        }

        private List<String> answer(DecisionFixture bed, List<String> said) {
            List<String> calls = said.stream().filter(s -> s.startsWith("add ")).toList();
            if (calls.isEmpty()) {
                return List.of();
            }
            return bed.play(
                    in -> {
                        for (String call : calls) {
                            String[] words = call.split(" ");
                            long name = Long.parseLong(words[1]);
                            double amount = Double.parseDouble(words[2]);
                            double total = counter.merge(name, amount, Double::sum);
                            in.counterAnswered(name, AttemptOutcome.SUCCESS, 1, total);
                        }
                    });
        }
    }

    private static Plan plan(double perSecond, double burst) {
        return new Plan("p", perSecond / 1000, burst, 0, 1, 0, 1, 0, 0, 0);
    }

    /** Old rate and burst, new rate and burst: windows of the same and of other lengths. */
    @DataProvider
    Object[][] changes() {
        return new Object[][] {
            {20.0, 40.0, 10.0, 20.0}, // 12 s and 12 s: the same names on the counter
            {10.0, 20.0, 20.0, 40.0},
            {20.0, 40.0, 2.0, 8.0}, // 12 s and 24 s
            {2.0, 8.0, 20.0, 40.0},
            {20.0, 80.0, 20.0, 10.0}, // 24 s and 3 s
            {20.0, 10.0, 20.0, 80.0},
            {5.0, 10.0, 5.0, 60.0}, // 12 s and 29 s
        };
    }

    /**
     * Wherever in its windows the change falls, nothing passes but what comes free from then on.
     */
    @Test(dataProvider = "changes")
    public void whoHasUsedAllStartsWithNothing(
            double oldRate, double oldBurst, double newRate, double newBurst) {
        for (int offset = 0; offset < 12; offset++) {
            Site site = new Site(1, plan(oldRate, oldBurst));
            site.run(13_000 + 2370 * offset, true);
            site.moveAll(plan(newRate, newBurst));
            holds(site, 40_000, 0, newRate, "moved " + offset);
        }
    }

    /** From now on no more passes than so much at once and so much a second. */
    private static void holds(Site site, double ms, double room, double perSecond, String where) {
        double from = site.now;
        int before = site.passed;
        while (site.now < from + ms) {
            site.step(true);
            double may = room + perSecond * (site.now - from) / 1000 + ROUNDING;
            int passed = site.passed - before;
            assertTrue(
                    passed <= may,
                    where + ", " + (site.now - from) + " ms after: " + passed + " of " + may);
        }
    }

    /** What was used of a burst is used of the new one. */
    @Test
    public void partOfABurstIsCarriedOver() {
        for (double[] to : new double[][] {{10, 20}, {20, 20}, {1, 20}}) {
            Site site = new Site(1, plan(20, 40));
            site.run(200, false);
            for (int i = 0; i < 15; i++) {
                assertTrue(site.ask(0, 1));
            }
            site.moveAll(plan(to[0], to[1]));
            int passed = 0;
            while (site.ask(0, 1)) {
                passed++;
            }
            assertEquals(passed, 5, "rate " + to[0]);
        }
    }

    @DataProvider
    Object[][] unused() {
        return new Object[][] {
            {plan(20, 40), plan(2, 10)}, {plan(2, 10), plan(20, 40)},
        };
    }

    /** A customer that has used nothing has the smaller burst at once; a larger one fills. */
    @Test(dataProvider = "unused")
    public void whoHasUsedNothingHasTheSmallerBurst(Plan from, Plan to) {
        Site site = new Site(1, from);
        assertTrue(site.ask(0, 1));
        site.run(40_000, false);
        site.moveAll(to);
        int passed = 0;
        while (site.ask(0, 1)) {
            passed++;
        }
        assertEquals(passed, 10);
    }

    /**
     * Gateways that learn of the change at different moments, up to the 13 s within which a
     * configuration is in force everywhere, count under two names meanwhile. All together pass no
     * more than the old rate until the last has learnt of it, the new rate from the first on, and
     * once the new burst.
     */
    @Test(dataProvider = "changes")
    public void gatewaysThatChangeApartAreBoundByBothPlans(
            double oldRate, double oldBurst, double newRate, double newBurst) {
        double apart = 13_000;
        for (int offset = 0; offset < 4; offset++) {
            Site site = new Site(4, plan(oldRate, oldBurst));
            site.run(13_000 + 7370 * offset, true);
            Plan next = plan(newRate, newBurst);
            double from = site.now;
            int before = site.passed;
            int moved = 0;
            while (site.now < from + 3 * apart) {
                if (moved < 4 && site.now >= from + moved * apart / 3) {
                    site.move(moved++, next);
                }
                site.step(true);
                double since = site.now - from;
                double may =
                        oldRate / 1000 * Math.min(since, apart + STEP)
                                + newRate / 1000 * since
                                + newBurst
                                + 4 * ROUNDING;
                int passed = site.passed - before;
                assertTrue(passed <= may, since + " ms after: " + passed + " of " + may);
            }
        }
    }

    /** Again and again, at all gateways together. */
    @Test
    public void noMoveOpensABurst() {
        Site site = new Site(2, plan(20, 40));
        site.run(20_000, true);
        for (int i = 0; i < 10; i++) {
            site.moveAll(plan(2, 8));
            holds(site, 1000, ROUNDING, 2, "away " + i);
            site.moveAll(plan(20, 40));
            holds(site, 1000, ROUNDING, 20, "back " + i);
        }
    }

    /** The ceiling that was drawn on, and what is out, count under the new plan. */
    @Test
    public void ceilingAndOpenRequestsAreCarriedOver() {
        Plan first = new Plan("p", 0.02, 400, 4, 1, 0, 1, 0.001, 5, 0);
        Plan second = new Plan("p", 0.02, 100, 4, 1, 0, 1, 0.001, 5, 0);
        Site site = new Site(1, first);
        site.run(60_000, false);
        DecisionFixture bed = site.gateways.get(0);
        List<Request> out = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Request req = bed.req(site.customers[0], READ, 1);
            assertEquals(site.settle(bed, bed.play(in -> in.requestArrived(req))), 1);
            out.add(req);
        }
        site.moveAll(second);
        Request fourth = bed.req(site.customers[0], READ, 1);
        assertEquals(site.settle(bed, bed.play(in -> in.requestArrived(fourth))), 1);
        Request fifth = bed.req(site.customers[0], READ, 1);
        assertEquals(site.settle(bed, bed.play(in -> in.requestArrived(fifth))), 0, "four are out");
        for (Request req : out) {
            site.settle(bed, bed.ends(req, 0, AttemptOutcome.SUCCESS, true));
        }
        int passed = 0;
        for (int i = 0; i < 10; i++) {
            Request req = bed.req(site.customers[0], READ, 1);
            int sent = site.settle(bed, bed.play(in -> in.requestArrived(req)));
            passed += sent;
            if (sent > 0) {
                site.settle(bed, bed.ends(req, 0, AttemptOutcome.SUCCESS, true));
            }
        }
        assertTrue(passed <= 1, passed + " more of a ceiling of five units, four of them used");
    }

    /** An answer to a call that was made under the old plan is taken, and its units stay used. */
    @Test
    public void whatIsUnderWayIsJudgedOnce() {
        Site site = new Site(1, plan(20, 40));
        DecisionFixture bed = site.gateways.get(0);
        site.run(1000, true);
        Request req = bed.req(site.customers[0], READ, 1);
        List<String> asked = new ArrayList<>(bed.play(in -> in.requestArrived(req)));
        site.moveAll(plan(10, 60));
        assertTrue(site.ask(0, 1));
        int sent = site.settle(bed, asked);
        assertEquals(sent, 1);
        assertEquals(
                DecisionFixture.count(bed.ends(req, 0, AttemptOutcome.SUCCESS, true), "deny"), 0);
    }

    /** Plans come and go: nothing is kept of those that are no more. */
    @Test
    public void oldPlansAreForgotten() {
        Site site = new Site(1, plan(20, 40));
        for (int i = 0; i < 500; i++) {
            site.ask(0, 1);
            site.moveAll(plan(20 + i, 40));
            site.step(false);
        }
        assertTrue(site.gateways.get(0).plansKept() <= 1);
    }
}
