package tinford.decision;

import static org.testng.Assert.assertTrue;
import static tinford.decision.DecisionFixture.READ;
import static tinford.decision.DecisionFixture.attempts;
import static tinford.decision.DecisionFixture.plan;
import static tinford.decision.DecisionFixture.tenant;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.GatewayEvents;
import tinford.api.Plan;
import tinford.api.Request;
import tinford.api.Tenant;

/** The hard rate limit is enforced without the counter, after restarts and during handovers. */
public class HardLimitTest {
    @Test
    public void hardLimitHoldsWithoutTheCounterFromAnEmptyBucket() {
        DecisionFixture gateway = DecisionFixture.withoutCounter();
        Tenant tenant = tenant(plan(0.2, 0, 0, 4));
        long admitted = 0;
        for (int i = 0; i < 100; i++) {
            admitted += attempts(gateway.arrive(gateway.request(tenant, READ, 1)));
            admitted += attempts(gateway.advance(50));
        }
        assertTrue(
                admitted > 0 && admitted <= 10,
                "admitted in 5 s at a share of 2 units per second: " + admitted);
    }

    /**
     * Time in ms that the old process runs alone, time in ms that both then run before draining.
     */
    @DataProvider
    Object[][] handovers() {
        return new Object[][] {{0, 0}, {2000, 1000}, {6000, 3000}, {20_000, 6000}};
    }

    /** During a handover both processes together admit no more than one of them would. */
    @Test(dataProvider = "handovers")
    public void processesOfAHandoverShareOneHardLimit(double aloneMs, double besideMs) {
        // the per-gateway share is 2 units per second with a burst of 10
        Plan plan = new Plan("p", 0, 0, 0, 1, 1, 0, 0.004, 20, 1);
        Tenant tenant = tenant(plan);
        DecisionFixture draining = new DecisionFixture();
        draining.advance(aloneMs);
        DecisionFixture successor = new DecisionFixture();
        successor.nowMs = draining.nowMs;
        successor.advance(besideMs);
        draining.advance(besideMs);
        draining.handle(GatewayEvents::drainingStarted);
        successor.handle(GatewayEvents::takeoverStarted);
        double initialUnits = Math.min(10, (aloneMs + besideMs) * 0.002);
        double admitted = 0;
        for (int i = 0; i <= 8; i++) {
            int requests = i % 4 == 0 ? 12 : 1;
            admitted += admit(draining, tenant, requests);
            admitted += admit(successor, tenant, requests);
            assertTrue(
                    admitted <= initialUnits + i * 0.5 + 1e-6,
                    "admitted " + admitted + " within " + i * 250 + " ms, from " + initialUnits);
            admitted += attempts(draining.advance(250)) + attempts(successor.advance(250));
        }
        assertTrue(admitted >= 2, "the successor's bucket fills: " + admitted);
    }

    private static long admit(DecisionFixture gateway, Tenant tenant, int requests) {
        long admitted = 0;
        for (int i = 0; i < requests; i++) {
            Request request = gateway.request(tenant, READ, 1);
            List<String> actions = gateway.arrive(request);
            admitted += attempts(actions);
            if (attempts(actions) > 0) {
                gateway.succeed(request);
            }
        }
        return admitted;
    }
}
