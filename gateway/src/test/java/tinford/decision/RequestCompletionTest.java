package tinford.decision;

import static org.testng.Assert.assertEquals;
import static tinford.decision.DecisionFixture.ATTEMPT;
import static tinford.decision.DecisionFixture.FAIL_CLOSED_PLAN;
import static tinford.decision.DecisionFixture.LARGE_PLAN;
import static tinford.decision.DecisionFixture.READ;
import static tinford.decision.DecisionFixture.REJECT;
import static tinford.decision.DecisionFixture.attempts;
import static tinford.decision.DecisionFixture.count;
import static tinford.decision.DecisionFixture.rejections;
import static tinford.decision.DecisionFixture.tenant;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.api.Request;
import tinford.api.RequestClass;
import tinford.api.Tenant;

/** When a request gets its final response, and which one. */
public class RequestCompletionTest {
    private final Tenant tenant = tenant(FAIL_CLOSED_PLAN);

    /**
     * A client that reads a streamed response slowly does not affect the statistics of its server.
     */
    @Test
    public void startedResponseIsTheFinalResponse() {
        DecisionFixture gateway = new DecisionFixture();
        List<Request> streaming = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            Request request = gateway.request(tenant, READ, 1);
            if (attempts(gateway.arrive(request, 0, 1)) > 0) {
                streaming.add(request);
                gateway.nowMs += 50;
                gateway.handle(events -> events.responseStarted(request, 0));
            }
        }
        assertEquals(streaming.size(), 5);
        List<String> actions = gateway.advance(20_000);
        assertEquals(attempts(actions), 0, actions.toString());
        assertEquals(rejections(actions), 0, actions.toString());
        // responses in progress occupy no slots of the servers
        for (int i = 0; i < 40; i++) {
            Request request = gateway.request(tenant, READ, 1);
            assertEquals(attempts(gateway.arrive(request, 0, 1)), 1, "request " + i);
            gateway.succeed(request);
        }
        for (Request request : streaming) {
            assertEquals(
                    gateway.endAttempt(request, 0, AttemptOutcome.CONNECTION_LOST, true),
                    List.of());
        }
    }

    /** Units of a request, time to its deadline in ms, expected action. */
    @DataProvider
    Object[][] deadlines() {
        return new Object[][] {{1, 900, ATTEMPT}, {6, 900, REJECT}, {6, 1900, ATTEMPT}};
    }

    /** The latency of a request is estimated from its units. */
    @Test(dataProvider = "deadlines")
    public void requestThatCannotMeetItsDeadlineIsRejectedAtOnce(
            double units, double timeLeftMs, String action) {
        DecisionFixture gateway = new DecisionFixture();
        Tenant largeTenant = tenant(LARGE_PLAN);
        for (int i = 0; i < 200; i++) {
            Request request = gateway.request(largeTenant, READ, 1 + i % 6);
            if (attempts(gateway.arrive(request, 0, 0.1)) > 0) {
                gateway.advance(50);
                gateway.succeed(request, 200 * request.units);
            }
        }
        double deadlineMs = gateway.nowMs + timeLeftMs;
        Request urgent = new Request(9999, READ, largeTenant, deadlineMs, units, false);
        assertEquals(count(gateway.arrive(urgent, 0, 0.1), action), 1);
    }

    /** Weight of a late response, timeout of the attempt in ms, or 0 for none. */
    @DataProvider
    Object[][] lateWeights() {
        return new Object[][] {{0.0, 2500.0}, {0.2, 0.0}};
    }

    /** An attempt times out once its response earns no weight; the client is told when to retry. */
    @Test(dataProvider = "lateWeights")
    public void attemptTimesOutWhenItsResponseEarnsNoWeight(double lateWeight, double timeoutMs) {
        RequestClass requestClass =
                new RequestClass(
                        "f",
                        2000,
                        8000,
                        1,
                        lateWeight,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        3000,
                        false);
        DecisionFixture gateway = new DecisionFixture();
        Request request = gateway.request(tenant, requestClass, 1);
        gateway.arrive(request, 0, 1);
        assertEquals(gateway.lastTimeoutMs, timeoutMs);
        gateway.nowMs += 2500;
        assertEquals(
                gateway.endAttempt(request, 0, AttemptOutcome.TIMED_OUT, false),
                List.of(REJECT + request.id + " 2000"));
    }
}
