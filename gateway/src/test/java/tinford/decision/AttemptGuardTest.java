package tinford.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static tinford.decision.DecisionFixture.FAIL_CLOSED_PLAN;
import static tinford.decision.DecisionFixture.READ;
import static tinford.decision.DecisionFixture.attemptedServers;
import static tinford.decision.DecisionFixture.attempts;
import static tinford.decision.DecisionFixture.plan;
import static tinford.decision.DecisionFixture.returnsUnits;
import static tinford.decision.DecisionFixture.tenant;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.FleetPolicy;
import tinford.api.Objectives;
import tinford.api.Request;
import tinford.api.Server;
import tinford.api.SlowStartRules;
import tinford.api.Tenant;

/** Attempts that violate a rule are not sent. */
public class AttemptGuardTest {
    /** Returns a request whose client is already known to have disconnected, or not. */
    private static Request request(DecisionFixture gateway, boolean clientGone) {
        Tenant tenant = tenant(FAIL_CLOSED_PLAN);
        return new Request(7, READ, tenant, gateway.nowMs + 8000, 1, false) {
            @Override
            public boolean clientGone() {
                return clientGone;
            }
        };
    }

    @DataProvider
    public Object[][] serverStates() {
        return new Object[][] {
            {Server.State.UP, true}, {Server.State.DRAINING, false}, {Server.State.REMOVED, false}
        };
    }

    /**
     * The guard checks the state itself, although the ranking only contains servers that are up.
     */
    @Test(dataProvider = "serverStates")
    public void onlyAServerThatIsUpMayBeSentAnAttempt(Server.State state, boolean allowed) {
        double nowMs = 100_000;
        Tenant tenant = tenant(FAIL_CLOSED_PLAN);
        PlanFairness fairness = new PlanFairness(new Objectives(0.7, 0.3));
        TenantQuota quota =
                new TenantQuota(
                        tenant, fairness, new RequestSizeModel(), new GatewayLifecycle(), nowMs);
        quota.rollWindows(nowMs);
        Request request = new Request(7, READ, tenant, nowMs + 8000, 1, false);
        PendingRequest pending = new PendingRequest(request, quota, 0, nowMs);
        Server server = new Server("s1");
        server.updateState(state);
        SlowStart slowStart = new SlowStart(new SlowStartRules(0.3, 10_000, 2, 1000));
        AttemptGuard guard = new AttemptGuard(DecisionFixture.limits(false), slowStart, 1);
        Batch batch = new Batch(nowMs, null, new FleetPolicy());
        assertEquals(guard.allows(batch, pending, new ServerStats(server, 0.5)), allowed);
    }

    /** The I/O layer may know of the disconnect before it reports the event. */
    @Test
    public void nothingIsSentForADisconnectedClient() {
        for (boolean clientGone : new boolean[] {true, false}) {
            DecisionFixture gateway = new DecisionFixture();
            Request request = request(gateway, clientGone);
            List<String> actions = gateway.arrive(request, 0, 1);
            assertEquals(attempts(actions), clientGone ? 0 : 1);
            actions.addAll(gateway.handle(events -> events.clientDisconnected(request)));
            assertEquals(returnsUnits(actions, 1), clientGone, actions.toString());
        }
    }

    /** State of the server, whether the full endpoint list still contains it. */
    @DataProvider
    Object[][] leavingServers() {
        return new Object[][] {
            {Server.State.DRAINING, true},
            {Server.State.REMOVED, true},
            {Server.State.UP, false}
        };
    }

    @Test(dataProvider = "leavingServers")
    public void noAttemptIsSentToALeavingServer(Server.State state, boolean listed) {
        DecisionFixture gateway = new DecisionFixture();
        gateway.setEndpointList("s1", "s2");
        Server remaining = gateway.server("s1");
        Server leaving = gateway.server("s2");
        leaving.updateState(state);
        List<Server> entries = listed ? List.of(remaining, leaving) : List.of(remaining);
        gateway.handle(events -> events.endpointsUpdated(entries, true));
        for (int i = 1; i <= 10; i++) {
            Request request = gateway.request(tenant(FAIL_CLOSED_PLAN), READ, 1);
            List<String> actions = gateway.arrive(request, 0, 1);
            assertFalse(attemptedServers(actions).contains("s2"), actions.toString());
        }
    }

    @Test
    public void openRequestsStayWithinThePlansLimit() {
        DecisionFixture gateway = new DecisionFixture();
        Tenant tenant = tenant(plan(0, 1, 2, 0));
        long admitted = 0;
        for (int i = 1; i <= 6; i++) {
            admitted += attempts(gateway.arrive(gateway.request(tenant, READ, 1), 0, i));
        }
        assertTrue(admitted >= 1 && admitted <= 2, "admitted: " + admitted);
    }
}
