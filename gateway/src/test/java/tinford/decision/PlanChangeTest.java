package tinford.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.decision.DecisionFixture.READ;
import static tinford.decision.DecisionFixture.attempts;
import static tinford.decision.DecisionFixture.increments;
import static tinford.decision.DecisionFixture.limits;
import static tinford.decision.DecisionFixture.rejections;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.api.Plan;
import tinford.api.Request;
import tinford.api.Tenant;
import tinford.decision.DecisionFixture.CounterIncrement;

/**
 * A tenant changes to another plan within a window: its usage counts under the new plan, at one
 * gateway and at several that learn of the change at different times.
 */
public class PlanChangeTest {
    private static final double START_MS = 1_700_000_000_000.0;
    private static final double STEP_MS = 20;
    private static final long TENANT_ID = 5;

    /** Requests that are decided in one batch may each exceed the quota by less than a unit. */
    private static final double ROUNDING_UNITS = 1;

    /** Gateways that share a counter, and a tenant that sends requests to all of them. */
    private static final class Deployment {
        private final List<DecisionFixture> gateways = new ArrayList<>();
        private final Tenant[] tenants;
        private final Map<Long, Double> counter = new HashMap<>();
        private double nowMs = START_MS;
        private int admitted;

        Deployment(int gatewayCount, Plan plan) {
            tenants = new Tenant[gatewayCount];
            for (int i = 0; i < gatewayCount; i++) {
                DecisionFixture gateway =
                        new DecisionFixture(limits(false), true, false, gatewayCount);
                gateway.nowMs = nowMs;
                gateway.setEndpointList("s1", "s2", "s3");
                gateways.add(gateway);
                tenants[i] = new Tenant(TENANT_ID, plan, gatewayCount, 0, 1);
            }
        }

        /** Notifies one gateway of the tenant's new plan. */
        void changePlan(int gateway, Plan plan) {
            long nextRevision = tenants[gateway].revision + 1;
            tenants[gateway] = new Tenant(TENANT_ID, plan, gateways.size(), 0, nextRevision);
            gateways.get(gateway).handle(events -> events.plansChanged(Set.of(plan)));
        }

        void changePlanEverywhere(Plan plan) {
            for (int i = 0; i < tenants.length; i++) {
                changePlan(i, plan);
            }
        }

        /** Advances the time by one step, optionally with a request of one unit at each gateway. */
        void step(boolean withRequests) {
            nowMs += STEP_MS;
            for (int i = 0; i < tenants.length; i++) {
                DecisionFixture gateway = gateways.get(i);
                gateway.nowMs = nowMs;
                answerCounter(gateway, gateway.handle(events -> events.timerFired(1)));
                if (withRequests) {
                    request(i);
                }
            }
        }

        void run(double durationMs, boolean withRequests) {
            double endMs = nowMs + durationMs;
            while (nowMs < endMs) {
                step(withRequests);
            }
        }

        /** Sends a request of one unit, which succeeds at once if it is admitted. */
        boolean request(int gatewayIndex) {
            DecisionFixture gateway = gateways.get(gatewayIndex);
            Request request = newRequest(gatewayIndex);
            boolean isAdmitted = arrive(gateway, request) > 0;
            if (isAdmitted) {
                admitted++;
                succeed(gateway, request);
            }
            return isAdmitted;
        }

        /** Sends requests until one is rejected; returns the number of admitted ones. */
        int requestUntilRejected() {
            int requests = 0;
            while (request(0)) {
                requests++;
            }
            return requests;
        }

        Request newRequest(int gatewayIndex) {
            return gateways.get(gatewayIndex).request(tenants[gatewayIndex], READ, 1);
        }

        /** Lets a request arrive; returns the number of attempts. */
        int arrive(DecisionFixture gateway, Request request) {
            return answerCounter(gateway, gateway.arrive(request));
        }

        void succeed(DecisionFixture gateway, Request request) {
            answerCounter(gateway, gateway.endAttempt(request, 0, AttemptOutcome.SUCCESS, true));
        }

        /**
         * Answers the calls to the counter at once; returns the number of attempts of all batches.
         */
        int answerCounter(DecisionFixture gateway, List<String> actions) {
            int attempts = (int) attempts(actions);
            List<CounterIncrement> calls = increments(actions);
            while (!calls.isEmpty()) {
                List<String> batch = answer(gateway, calls);
                attempts += (int) attempts(batch);
                calls = increments(batch);
            }
            return attempts;
        }

        private List<String> answer(DecisionFixture gateway, List<CounterIncrement> calls) {
            return gateway.handle(
                    events -> {
                        for (CounterIncrement call : calls) {
                            long key = call.counterKey();
                            double total = counter.merge(key, call.amount(), Double::sum);
                            events.counterAnswered(key, AttemptOutcome.SUCCESS, 1, total);
                        }
                    });
        }
    }

    /** A plan with a quota in units per second and a burst in units. */
    private static Plan plan(double quotaPerS, double burst) {
        return new Plan("p", quotaPerS / 1000, burst, 0, 1, 0, 1, 0, 0, 0);
    }

    /** Old quota per second and burst, new ones; the window length stays equal or changes. */
    @DataProvider
    Object[][] planChanges() {
        return new Object[][] {
            // windows of 12 s before and after: the same keys on the counter
            {20.0, 40.0, 10.0, 20.0},
            {10.0, 20.0, 20.0, 40.0},
            // windows of 12 s and 24 s
            {20.0, 40.0, 2.0, 8.0},
            {2.0, 8.0, 20.0, 40.0},
            // windows of 24 s and 3 s
            {20.0, 80.0, 20.0, 10.0},
            {20.0, 10.0, 20.0, 80.0},
            // windows of 12 s and 29 s
            {5.0, 10.0, 5.0, 60.0},
        };
    }

    /** At any offset of the change within a window, only the new quota is admitted from then on. */
    @Test(dataProvider = "planChanges")
    public void exhaustedTenantStartsTheNewPlanWithoutABurst(
            double oldQuotaPerS, double oldBurst, double newQuotaPerS, double newBurst) {
        for (int offset = 0; offset < 12; offset++) {
            Deployment deployment = new Deployment(1, plan(oldQuotaPerS, oldBurst));
            deployment.run(13_000 + 2370 * offset, true);
            deployment.changePlanEverywhere(plan(newQuotaPerS, newBurst));
            assertAdmitsAtMost(deployment, 40_000, 0, newQuotaPerS, "offset " + offset);
        }
    }

    /** Asserts that from now on at most the burst plus the quota over time is admitted. */
    private static void assertAdmitsAtMost(
            Deployment deployment,
            double durationMs,
            double burst,
            double quotaPerS,
            String context) {
        double fromMs = deployment.nowMs;
        int before = deployment.admitted;
        while (deployment.nowMs < fromMs + durationMs) {
            deployment.step(true);
            double sinceMs = deployment.nowMs - fromMs;
            double max = burst + quotaPerS * sinceMs / 1000 + ROUNDING_UNITS;
            int admitted = deployment.admitted - before;
            assertTrue(
                    admitted <= max,
                    context + ", " + sinceMs + " ms after: " + admitted + " of " + max);
        }
    }

    @Test
    public void usedPartOfABurstIsCarriedOver() {
        for (double newQuotaPerS : new double[] {10, 20, 1}) {
            Deployment deployment = new Deployment(1, plan(20, 40));
            deployment.run(200, false);
            for (int i = 0; i < 15; i++) {
                assertTrue(deployment.request(0));
            }
            deployment.changePlanEverywhere(plan(newQuotaPerS, 20));
            assertEquals(deployment.requestUntilRejected(), 5, "quota " + newQuotaPerS);
        }
    }

    @DataProvider
    Object[][] plansWithAndWithoutALargerBurst() {
        return new Object[][] {
            {plan(20, 40), plan(2, 10)},
            {plan(2, 10), plan(20, 40)},
        };
    }

    /** The smaller of both bursts is available at once; a larger new burst has to refill. */
    @Test(dataProvider = "plansWithAndWithoutALargerBurst")
    public void idleTenantHasTheSmallerBurst(Plan oldPlan, Plan newPlan) {
        Deployment deployment = new Deployment(1, oldPlan);
        assertTrue(deployment.request(0));
        deployment.run(40_000, false);
        deployment.changePlanEverywhere(newPlan);
        assertEquals(deployment.requestUntilRejected(), 10);
    }

    /**
     * Gateways learn of the change at different times, up to 13 s apart, the time within which a
     * configuration is in force everywhere. Until then they count under two different keys.
     * Together they admit at most the old quota until the last gateway has learned of the change,
     * the new quota from the first one on, and one new burst.
     */
    @Test(dataProvider = "planChanges")
    public void gatewaysThatChangeAtDifferentTimesComplyWithBothPlans(
            double oldQuotaPerS, double oldBurst, double newQuotaPerS, double newBurst) {
        double spreadMs = 13_000;
        for (int offset = 0; offset < 4; offset++) {
            Deployment deployment = new Deployment(4, plan(oldQuotaPerS, oldBurst));
            deployment.run(13_000 + 7370 * offset, true);
            Plan newPlan = plan(newQuotaPerS, newBurst);
            double fromMs = deployment.nowMs;
            int before = deployment.admitted;
            int changed = 0;
            while (deployment.nowMs < fromMs + 3 * spreadMs) {
                if (changed < 4 && deployment.nowMs >= fromMs + changed * spreadMs / 3) {
                    deployment.changePlan(changed, newPlan);
                    changed++;
                }
                deployment.step(true);
                double sinceMs = deployment.nowMs - fromMs;
                double max =
                        oldQuotaPerS / 1000 * Math.min(sinceMs, spreadMs + STEP_MS)
                                + newQuotaPerS / 1000 * sinceMs
                                + newBurst
                                + 4 * ROUNDING_UNITS;
                int admitted = deployment.admitted - before;
                assertTrue(admitted <= max, sinceMs + " ms after: " + admitted + " of " + max);
            }
        }
    }

    @Test
    public void repeatedChangesOpenNoBurst() {
        Deployment deployment = new Deployment(2, plan(20, 40));
        deployment.run(20_000, true);
        for (int i = 0; i < 10; i++) {
            deployment.changePlanEverywhere(plan(2, 8));
            assertAdmitsAtMost(deployment, 1000, ROUNDING_UNITS, 2, "smaller plan " + i);
            deployment.changePlanEverywhere(plan(20, 40));
            assertAdmitsAtMost(deployment, 1000, ROUNDING_UNITS, 20, "larger plan " + i);
        }
    }

    /** Usage of the hard rate limit and requests in flight count under the new plan. */
    @Test
    public void hardLimitAndOpenRequestsAreCarriedOver() {
        Plan oldPlan = new Plan("p", 0.02, 400, 4, 1, 0, 1, 0.001, 5, 0);
        Plan newPlan = new Plan("p", 0.02, 100, 4, 1, 0, 1, 0.001, 5, 0);
        Deployment deployment = new Deployment(1, oldPlan);
        deployment.run(60_000, false);
        DecisionFixture gateway = deployment.gateways.get(0);
        List<Request> inFlight = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Request request = deployment.newRequest(0);
            assertEquals(deployment.arrive(gateway, request), 1);
            inFlight.add(request);
        }
        deployment.changePlanEverywhere(newPlan);
        assertEquals(deployment.arrive(gateway, deployment.newRequest(0)), 1, "fourth request");
        assertEquals(deployment.arrive(gateway, deployment.newRequest(0)), 0, "four are in flight");
        for (Request request : inFlight) {
            deployment.succeed(gateway, request);
        }
        int admitted = 0;
        for (int i = 0; i < 10; i++) {
            Request request = deployment.newRequest(0);
            int sent = deployment.arrive(gateway, request);
            admitted += sent;
            if (sent > 0) {
                deployment.succeed(gateway, request);
            }
        }
        assertTrue(
                admitted <= 1,
                "admitted " + admitted + " more, with four of five units of the bucket used");
    }

    /** The answer to a call made under the old plan decides, and its units remain counted. */
    @Test
    public void callInFlightIsDecidedOnce() {
        Deployment deployment = new Deployment(1, plan(20, 40));
        DecisionFixture gateway = deployment.gateways.get(0);
        deployment.run(1000, true);
        Request request = deployment.newRequest(0);
        List<String> calls = gateway.arrive(request);
        deployment.changePlanEverywhere(plan(10, 60));
        assertTrue(deployment.request(0));
        assertEquals(deployment.answerCounter(gateway, calls), 1);
        List<String> actions = gateway.endAttempt(request, 0, AttemptOutcome.SUCCESS, true);
        assertEquals(rejections(actions), 0);
    }

    @Test
    public void stateOfFormerPlansIsDropped() {
        Deployment deployment = new Deployment(1, plan(20, 40));
        for (int i = 0; i < 500; i++) {
            deployment.request(0);
            deployment.changePlanEverywhere(plan(20 + i, 40));
            deployment.step(false);
        }
        assertTrue(deployment.gateways.get(0).trackedPlans() <= 1);
    }
}
