package tinford.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.decision.DecisionFixture.ATTEMPT;
import static tinford.decision.DecisionFixture.FAIL;
import static tinford.decision.DecisionFixture.FAIL_CLOSED_PLAN;
import static tinford.decision.DecisionFixture.READ;
import static tinford.decision.DecisionFixture.REJECT;
import static tinford.decision.DecisionFixture.attemptedServers;
import static tinford.decision.DecisionFixture.attempts;
import static tinford.decision.DecisionFixture.count;
import static tinford.decision.DecisionFixture.rejections;
import static tinford.decision.DecisionFixture.requestClass;
import static tinford.decision.DecisionFixture.tenant;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.api.Request;
import tinford.api.RequestClass;
import tinford.api.Server;
import tinford.api.Tenant;

/** Retries respect the idempotency of the request and its deduplication scope and window. */
public class RetryTest {
    private static final RequestClass NON_IDEMPOTENT =
            requestClass(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL);
    private static final RequestClass KEYED_IN_CELL =
            requestClass(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL);
    private static final RequestClass KEYED_IN_ZONE =
            requestClass(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE);
    private static final RequestClass KEYED_ANYWHERE =
            requestClass(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL);

    private final Tenant tenant = tenant(FAIL_CLOSED_PLAN);

    /** Request class, outcome of the first attempt, the only immediate action. */
    @DataProvider
    Object[][] firstOutcomes() {
        return new Object[][] {
            {READ, AttemptOutcome.UNREACHABLE, ATTEMPT},
            {READ, AttemptOutcome.CONNECTION_LOST, REJECT},
            {READ, AttemptOutcome.TIMED_OUT, REJECT},
            {NON_IDEMPOTENT, AttemptOutcome.OVERLOADED, ATTEMPT},
            {NON_IDEMPOTENT, AttemptOutcome.CONNECTION_LOST, FAIL},
            {NON_IDEMPOTENT, AttemptOutcome.ERROR, FAIL},
            {KEYED_IN_CELL, AttemptOutcome.UNREACHABLE, ATTEMPT},
            {KEYED_IN_CELL, AttemptOutcome.CONNECTION_LOST, FAIL},
            {KEYED_IN_ZONE, AttemptOutcome.ERROR, FAIL},
            {KEYED_ANYWHERE, AttemptOutcome.CONNECTION_LOST, REJECT},
        };
    }

    /** With an empty retry budget only attempts that did not run are retried. */
    @Test(dataProvider = "firstOutcomes")
    public void idempotencyDecidesBetweenRetryRejectionAndFailure(
            RequestClass requestClass, AttemptOutcome outcome, String action) {
        DecisionFixture gateway = new DecisionFixture();
        Request request = gateway.request(tenant, requestClass, 1);
        gateway.arrive(request, 0, 1);
        List<String> actions = gateway.endAttempt(request, 0, outcome, false);
        assertEquals(count(actions, action), 1, actions.toString());
        long decisions = attempts(actions) + rejections(actions) + count(actions, FAIL);
        assertEquals(decisions, 1, actions.toString());
    }

    /** With a full retry budget a request that may have run is retried only within its cell. */
    @Test
    public void keyedRequestIsRetriedWithinItsDeduplicationScope() {
        DecisionFixture gateway = new DecisionFixture();
        gateway.setEndpointList("s1a", "s1b", "s2");
        int retries = 0;
        for (int i = 0; i < 40; i++) {
            Request request = gateway.request(tenant, KEYED_IN_CELL, 0.1);
            String first = attemptedServers(gateway.arrive(request, 0, 0.1 * i)).get(0);
            boolean succeeds = i < 20;
            AttemptOutcome outcome =
                    succeeds ? AttemptOutcome.SUCCESS : AttemptOutcome.CONNECTION_LOST;
            List<String> actions = gateway.endAttempt(request, 0, outcome, succeeds);
            for (String server : attemptedServers(actions)) {
                retries++;
                assertEquals(gateway.server(server).cell(), gateway.server(first).cell());
                gateway.endAttempt(request, 1, AttemptOutcome.SUCCESS, true);
            }
            gateway.advance(200);
        }
        assertTrue(retries > 0);
    }

    /** Two servers, request class, whether a lost attempt at one is retried at the other. */
    @DataProvider
    Object[][] scopes() {
        return new Object[][] {
            {"s1a", "s1b", KEYED_IN_CELL, true},
            {"s1a", "s2", KEYED_IN_CELL, false},
            {"s1a", "s2", KEYED_IN_ZONE, true},
            {"s1a", "z", KEYED_IN_ZONE, false},
            {"s1a", "z", KEYED_ANYWHERE, true},
            {"s1a", "z", READ, true},
        };
    }

    @Test(dataProvider = "scopes")
    public void retryNeverLeavesTheDeduplicationScope(
            String server, String otherServer, RequestClass requestClass, boolean retried) {
        DecisionFixture gateway = new DecisionFixture();
        gateway.setEndpointList(server, otherServer);
        fillRetryBudget(gateway);
        Request request = gateway.request(tenant, requestClass, 0.1);
        String first = attemptedServers(gateway.arrive(request, 0, 4)).get(0);
        String other = first.equals(server) ? otherServer : server;
        gateway.server(first).updateState(Server.State.DRAINING);
        gateway.handle(events -> events.endpointsUpdated(List.of(gateway.server(first)), false));
        List<String> actions =
                gateway.endAttempt(request, 0, AttemptOutcome.CONNECTION_LOST, false);
        assertEquals(attemptedServers(actions), retried ? List.of(other) : List.of());
    }

    private void fillRetryBudget(DecisionFixture gateway) {
        for (int i = 0; i < 40; i++) {
            Request request = gateway.request(tenant, READ, 0.1);
            gateway.arrive(request, 0, 0.1 * i);
            gateway.succeed(request);
        }
    }

    /**
     * A retry that waits for a connection must be sent within the deduplication window that the
     * first attempt started.
     */
    @Test
    public void retryIsSentWithinTheDeduplicationWindow() {
        DecisionFixture gateway = new DecisionFixture();
        gateway.setEndpointList("s1a", "s1b");
        // fills the retry budget
        for (int i = 0; i < 40; i++) {
            Request request = gateway.request(tenant, READ, 0.1);
            gateway.arrive(request, 0, 0.1 * i);
            assertTrue(gateway.lastSendWithinMs > 3000, "an idempotent request has no window");
            gateway.succeed(request);
        }
        for (double delayMs : new double[] {0, 700, 1100}) {
            Request request = gateway.request(tenant, KEYED_IN_CELL, 0.1);
            gateway.arrive(request, 0, 2);
            assertTrue(gateway.lastSendWithinMs > 3000, "the first attempt starts the window");
            gateway.nowMs += delayMs;
            List<String> actions =
                    gateway.endAttempt(request, 0, AttemptOutcome.CONNECTION_LOST, false);
            assertEquals(attempts(actions), 1);
            assertEquals(gateway.lastSendWithinMs, 3000 - 1 - delayMs, 1e-6);
            gateway.endAttempt(request, 1, AttemptOutcome.SUCCESS, true);
        }
    }
}
