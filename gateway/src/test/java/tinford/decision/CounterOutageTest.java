package tinford.decision;

import static org.testng.Assert.assertEquals;
import static tinford.decision.DecisionFixture.FAIL_CLOSED_PLAN;
import static tinford.decision.DecisionFixture.FAIL_OPEN_PLAN;
import static tinford.decision.DecisionFixture.READ;
import static tinford.decision.DecisionFixture.attempts;
import static tinford.decision.DecisionFixture.increments;
import static tinford.decision.DecisionFixture.rejections;
import static tinford.decision.DecisionFixture.tenant;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.api.Plan;
import tinford.api.Request;
import tinford.api.Tenant;
import tinford.decision.DecisionFixture.CounterIncrement;

/**
 * Decisions without answers of the shared counter: fail-open plans admit, fail-closed plans use the
 * last total or the per-gateway share of the quota.
 */
public class CounterOutageTest {
    /** Sends requests of one unit whose counter calls all fail; returns how many are admitted. */
    private static int admittedWithoutAnswers(
            DecisionFixture gateway, Tenant tenant, int requests, AttemptOutcome outcome) {
        int admitted = 0;
        for (int i = 0; i < requests; i++) {
            Request request = gateway.request(tenant, READ, 1);
            List<String> actions = gateway.arrive(request);
            actions.addAll(gateway.failCounterCalls(outcome));
            if (attempts(actions) > 0) {
                gateway.succeed(request);
            }
            admitted += (int) attempts(actions);
        }
        return admitted;
    }

    /** Plan, outcome of each call, requests of one unit that are admitted out of 20. */
    @DataProvider
    Object[][] fallbacks() {
        return new Object[][] {
            {FAIL_OPEN_PLAN, AttemptOutcome.TIMED_OUT, 20},
            // the per-gateway share of the burst is 5 units
            {FAIL_CLOSED_PLAN, AttemptOutcome.TIMED_OUT, 5},
            {FAIL_CLOSED_PLAN, AttemptOutcome.UNREACHABLE, 5},
            {FAIL_CLOSED_PLAN, AttemptOutcome.OVERLOADED, 5},
        };
    }

    @Test(dataProvider = "fallbacks")
    public void planDecidesBetweenFailOpenAndFailClosed(
            Plan plan, AttemptOutcome outcome, int admitted) {
        DecisionFixture gateway = new DecisionFixture();
        assertEquals(admittedWithoutAnswers(gateway, tenant(plan), 20, outcome), admitted);
    }

    @Test
    public void everyRequestIsDecidedThoughTheCounterNeverAnswers() {
        DecisionFixture gateway = new DecisionFixture();
        Tenant tenant = tenant(FAIL_CLOSED_PLAN);
        gateway.arrive(gateway.request(tenant, READ, 1));
        assertEquals(attempts(gateway.advance(500)), 1);
        Request urgent = new Request(99, READ, tenant, gateway.nowMs + 20, 1, false);
        assertEquals(
                rejections(gateway.arrive(urgent)), 1, "the deadline is too close for a response");
    }

    /** Late total after four timed-out calls, requests of one unit out of 6 admitted after it. */
    @DataProvider
    Object[][] lateTotals() {
        return new Object[][] {{2.0, 6}, {20.0, 5}, {34.5, 1}, {36.7, 0}};
    }

    /** A late total still bounds the usage, where the per-gateway share would exceed the quota. */
    @Test(dataProvider = "lateTotals")
    public void lateTotalIsUsed(double total, int admitted) {
        DecisionFixture gateway = new DecisionFixture();
        Tenant tenant = tenant(FAIL_CLOSED_PLAN);
        List<String> arrivals = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            arrivals.addAll(gateway.arrive(gateway.request(tenant, READ, 0.001)));
            gateway.failCounterCalls(AttemptOutcome.TIMED_OUT);
            gateway.advance(100);
        }
        CounterIncrement firstCall = increments(arrivals).get(0);
        gateway.handle(events -> events.counterAnsweredLate(firstCall.counterKey(), total));
        long actual = 0;
        for (int i = 0; i < 6; i++) {
            Request request = gateway.request(tenant, READ, 1);
            long sent = attempts(gateway.arrive(request));
            if (sent > 0) {
                gateway.succeed(request);
            }
            actual += sent;
        }
        assertEquals(actual, admitted);
    }

    /** Outcome of five calls, number of calls for the next request. */
    @DataProvider
    Object[][] missingTotals() {
        return new Object[][] {{AttemptOutcome.TIMED_OUT, 0}, {AttemptOutcome.CONNECTION_LOST, 1}};
    }

    @Test(dataProvider = "missingTotals")
    public void lostConnectionsAreNoOutage(AttemptOutcome outcome, int calls) {
        DecisionFixture gateway = new DecisionFixture();
        for (int i = 0; i < 5; i++) {
            gateway.arrive(gateway.request(new Tenant(i, FAIL_CLOSED_PLAN, 2, 0), READ, 1));
            gateway.failCounterCalls(outcome);
        }
        Tenant other = new Tenant(9, FAIL_CLOSED_PLAN, 2, 0);
        List<String> actions = gateway.arrive(gateway.request(other, READ, 1));
        assertEquals(increments(actions).size(), calls);
    }

    /**
     * Fan-in of the tenant, last total of all gateways, its age in ms, requests of one unit while
     * no call is answered, requests admitted. With a fan-in of two the per-gateway share is five
     * units.
     */
    @DataProvider
    Object[][] lastTotals() {
        return new Object[][] {
            {2, 0, 100, 12, 10},
            {2, 0, 6000, 12, 5},
            {2, 36, 100, 12, 0},
            {2, 36, 2400, 12, 2},
            {5, 0, 100, 12, 2},
        };
    }

    /** A recent total decides instead of the per-gateway share until the burst has refilled. */
    @Test(dataProvider = "lastTotals")
    public void recentTotalDecidesUntilTheBurstHasRefilled(
            int fanIn, double total, double ageMs, int requests, int admitted) {
        DecisionFixture gateway = new DecisionFixture();
        Tenant tenant = new Tenant(5, FAIL_CLOSED_PLAN, fanIn, 0);
        Request first = gateway.request(tenant, READ, 0.1);
        if (attempts(gateway.arrive(first, 0, total + 0.1)) > 0) {
            gateway.succeed(first);
        }
        gateway.nowMs += ageMs;
        int actual = admittedWithoutAnswers(gateway, tenant, requests, AttemptOutcome.TIMED_OUT);
        assertEquals(actual, admitted);
    }

    /** Fan-in of the tenant, requests of one unit admitted out of 6 at once. */
    @DataProvider
    Object[][] fanIns() {
        return new Object[][] {{2, 5}, {10, 1}, {100, 1}};
    }

    @Test(dataProvider = "fanIns")
    public void shareSmallerThanARequestAdmitsOne(int fanIn, int admitted) {
        DecisionFixture gateway = new DecisionFixture();
        Tenant tenant = new Tenant(5, FAIL_CLOSED_PLAN, fanIn, 0);
        long actual = 0;
        for (int i = 0; i < 6; i++) {
            List<String> actions = gateway.arrive(gateway.request(tenant, READ, 1));
            actions.addAll(gateway.failCounterCalls(AttemptOutcome.TIMED_OUT));
            actual += attempts(actions);
        }
        assertEquals(actual, admitted);
    }
}
