package tinford.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.decision.DecisionFixture.FAIL_CLOSED_PLAN;
import static tinford.decision.DecisionFixture.READ;
import static tinford.decision.DecisionFixture.attempts;
import static tinford.decision.DecisionFixture.increments;
import static tinford.decision.DecisionFixture.rejections;
import static tinford.decision.DecisionFixture.returnsUnits;
import static tinford.decision.DecisionFixture.tenant;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.api.Request;
import tinford.api.Tenant;
import tinford.decision.DecisionFixture.CounterIncrement;

/**
 * Quotas are enforced by the totals of the shared counter. The plan has 2 units per second and a
 * burst of 10, so its windows are 29 s long and admit 68 units; at the start time of 100 s the
 * current window is 13 s old.
 */
public class QuotaLimiterTest {
    private final Tenant tenant = tenant(FAIL_CLOSED_PLAN);

    /** Total of the previous window, total of the current one, units, whether admitted. */
    @DataProvider
    Object[][] totals() {
        return new Object[][] {
            {0, 1, 1, true},
            {0, 35, 1, true},
            // within the quota, but units of other gateways may have exceeded it
            {0, 36, 1, false},
            // burst + rate x time since the window's start
            {0, 37, 1, false},
            // the first read allows at most one burst, independent of the age of the window
            {0, 11, 11, false},
            {58, 5, 1, true},
            // about half of the previous window still counts
            {120, 2, 1, false},
        };
    }

    @Test(dataProvider = "totals")
    public void slidingWindowEstimateDecides(
            double previousTotal, double currentTotal, double units, boolean admitted) {
        DecisionFixture gateway = new DecisionFixture();
        Request request = gateway.request(tenant, READ, units);
        List<String> actions = gateway.arrive(request, previousTotal, currentTotal);
        assertEquals(attempts(actions), admitted ? 1 : 0, actions.toString());
        assertEquals(rejections(actions), admitted ? 0 : 1, actions.toString());
        assertEquals(returnsUnits(actions, units), !admitted, "a rejection returns its units");
    }

    @Test
    public void idleTenantAccumulatesOneBurst() {
        DecisionFixture gateway = new DecisionFixture();
        Request first = gateway.request(tenant, READ, 1);
        gateway.arrive(first, 0, 1);
        gateway.succeed(first);
        gateway.advance(9000);
        int admitted = 0;
        for (int i = 0; i < 20; i++) {
            Request request = gateway.request(tenant, READ, 1);
            if (attempts(gateway.arrive(request, 0, 2 + admitted)) > 0) {
                gateway.succeed(request);
                admitted++;
            }
        }
        assertEquals(admitted, 10);
    }

    @Test
    public void disconnectDuringTheCounterCallReturnsTheUnits() {
        DecisionFixture gateway = new DecisionFixture();
        Request request = gateway.request(tenant, READ, 3);
        List<CounterIncrement> calls = increments(gateway.arrive(request));
        gateway.handle(events -> events.clientDisconnected(request));
        List<String> actions =
                gateway.handle(
                        events -> {
                            for (CounterIncrement call : calls) {
                                events.counterAnswered(
                                        call.counterKey(), AttemptOutcome.SUCCESS, 1, 3);
                            }
                        });
        assertTrue(returnsUnits(actions, 3), actions.toString());
        assertEquals(attempts(actions), 0);
    }

    @Test
    public void disconnectDuringTheReadOfThePreviousWindowReturnsTheUnitsOnce() {
        DecisionFixture gateway = new DecisionFixture();
        Request request = gateway.request(tenant, READ, 3);
        List<String> reads = gateway.answerCounter(gateway.arrive(request), 0, 33);
        assertEquals(increments(reads).size(), 1, "the previous window is read");
        List<String> actions = gateway.handle(events -> events.clientDisconnected(request));
        actions.addAll(gateway.answerCounter(reads, 0, 33));
        assertEquals(increments(actions).size(), 1, actions.toString());
    }

    @Test
    public void counterResetDoesNotRestoreTheQuota() {
        DecisionFixture gateway = new DecisionFixture();
        for (int i = 0; i < 5; i++) {
            gateway.arrive(gateway.request(tenant, READ, 2), 0, 2 * i + 2);
        }
        gateway.advance(600);
        List<String> actions = gateway.arrive(gateway.request(tenant, READ, 3), 0, 3);
        assertEquals(rejections(actions), 1);
    }

    /**
     * Units that other gateways use between two reads, time between the reads in ms, units of a
     * later request, whether it is admitted.
     */
    @DataProvider
    Object[][] usageElsewhere() {
        return new Object[][] {
            {0.0, 8000, 9.0, true},
            {8.0, 8000, 9.0, false},
            {8.0, 8000, 5.5, true},
            {14.0, 0, 1.0, true},
            {14.0, 0, 3.0, false},
        };
    }

    /**
     * Other gateways may have used their units just before the read, out of a full bucket; units
     * that they forwarded beyond the quota leave no debt.
     */
    @Test(dataProvider = "usageElsewhere")
    public void usageElsewhereLeavesTheBurstNeitherFullNorNegative(
            double usedElsewhere, int betweenReadsMs, double units, boolean admitted) {
        DecisionFixture gateway = new DecisionFixture();
        Request first = gateway.request(tenant, READ, 0.001);
        gateway.arrive(first, 0, 15);
        gateway.succeed(first);
        gateway.advance(betweenReadsMs);
        Request second = gateway.request(tenant, READ, 0.001);
        if (attempts(gateway.arrive(second, 0, 15 + usedElsewhere)) > 0) {
            gateway.succeed(second);
        }
        gateway.advance(usedElsewhere > 10 ? 1000 : 0);
        Request third = gateway.request(tenant, READ, units);
        List<String> actions = gateway.arrive(third, 0, 15 + usedElsewhere + units);
        assertEquals(attempts(actions), admitted ? 1 : 0);
    }

    /** Earlier unanswered calls, total of the current window, reads of the previous window. */
    @DataProvider
    Object[][] previousWindowReads() {
        return new Object[][] {
            {0, 5.0, 1}, {1, 5.0, 0}, {1, 29.0, 0}, {1, 32.0, 1},
        };
    }

    /** While calls are spaced out, the previous window is read only if it can cause a rejection. */
    @Test(dataProvider = "previousWindowReads")
    public void previousWindowIsReadWhereItCanChangeTheDecision(
            int unanswered, double currentTotal, int reads) {
        DecisionFixture gateway = new DecisionFixture();
        for (int i = 0; i < unanswered; i++) {
            gateway.arrive(gateway.request(new Tenant(7, FAIL_CLOSED_PLAN, 2, 0), READ, 1));
            gateway.failCounterCalls(AttemptOutcome.TIMED_OUT);
        }
        gateway.advance(50);
        List<String> actions = gateway.arrive(gateway.request(tenant, READ, 0.1), 0, currentTotal);
        long actualReads = increments(actions).stream().filter(CounterIncrement::isRead).count();
        assertEquals(actualReads, reads, actions.toString());
        assertEquals(attempts(actions), 1, actions.toString());
    }

    @Test
    public void actualUnitsAreSettledOnce() {
        DecisionFixture gateway = new DecisionFixture();
        Request request = gateway.request(tenant, READ, 2);
        gateway.arrive(request, 0, 2);
        gateway.handle(
                events ->
                        events.attemptEnded(
                                request, 0, AttemptOutcome.SUCCESS, 100, true, 0, 5, null));
        List<CounterIncrement> settling =
                increments(gateway.arrive(gateway.request(tenant, READ, 1)));
        assertTrue(settling.stream().anyMatch(call -> call.amount() == 4), settling.toString());
        List<CounterIncrement> settled =
                increments(gateway.arrive(gateway.request(tenant, READ, 1)));
        assertTrue(settled.stream().anyMatch(call -> call.amount() == 1), settled.toString());
    }
}
