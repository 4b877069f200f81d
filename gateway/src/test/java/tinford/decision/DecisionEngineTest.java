package tinford.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.decision.DecisionFixture.CLOSE_IDLE;
import static tinford.decision.DecisionFixture.FAIL_CLOSED_PLAN;
import static tinford.decision.DecisionFixture.READ;
import static tinford.decision.DecisionFixture.SET_TIMER;
import static tinford.decision.DecisionFixture.WATCH;
import static tinford.decision.DecisionFixture.count;
import static tinford.decision.DecisionFixture.limits;
import static tinford.decision.DecisionFixture.plan;
import static tinford.decision.DecisionFixture.tenant;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.api.GatewayEvents;
import tinford.api.Request;
import tinford.api.Tenant;

/** Idle connections, discovery and bounded memory of the decision engine. */
public class DecisionEngineTest {
    private static final int DISCOVERY_TIMER = 2;

    /** N, where one of N attempts loses its connection; whether idle connections are closed. */
    @DataProvider
    Object[][] connectionLossRates() {
        return new Object[][] {{100, false}, {8, true}};
    }

    @Test(dataProvider = "connectionLossRates")
    public void idleConnectionsAreClosedWhileManyAreLost(int oneIn, boolean closes) {
        DecisionFixture gateway = new DecisionFixture();
        Tenant tenant = tenant(plan(1, 0, 0, 0));
        long closed = 0;
        for (int i = 1; i <= 120; i++) {
            Request request = gateway.request(tenant, READ, 0.1);
            gateway.arrive(request, 0, 0.1);
            boolean lost = i % oneIn == 0;
            AttemptOutcome outcome = lost ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.SUCCESS;
            gateway.endAttempt(request, 0, outcome, true);
            closed += count(gateway.advance(50), CLOSE_IDLE);
        }
        assertEquals(closed > 0, closes, "closed: " + closed);
    }

    @Test
    public void brokenWatchIsRenewedAfterABackoff() {
        DecisionFixture gateway = new DecisionFixture(limits(false), true, true);
        assertEquals(count(gateway.actions, WATCH + true), 1);
        assertEquals(count(gateway.handle(GatewayEvents::discoveryFailed), SET_TIMER), 1);
        assertEquals(
                count(gateway.handle(events -> events.timerFired(DISCOVERY_TIMER)), WATCH + true),
                1);
    }

    @Test
    public void trackedStateStaysBounded() {
        DecisionFixture gateway = new DecisionFixture();
        for (int i = 0; i < 2000; i++) {
            Request request = gateway.request(new Tenant(i, FAIL_CLOSED_PLAN, 2, 0), READ, 1);
            gateway.arrive(request, 0, 1);
            gateway.succeed(request);
            if (i % 20 == 0) {
                gateway.setEndpointList("s1", "new" + i);
            }
            gateway.advance(200);
        }
        assertTrue(gateway.trackedEntries() < 500, "entries: " + gateway.trackedEntries());
    }
}
