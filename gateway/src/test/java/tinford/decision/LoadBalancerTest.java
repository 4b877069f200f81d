package tinford.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.decision.DecisionFixture.FAIL_OPEN_PLAN;
import static tinford.decision.DecisionFixture.LARGE_PLAN;
import static tinford.decision.DecisionFixture.READ;
import static tinford.decision.DecisionFixture.attemptedServers;
import static tinford.decision.DecisionFixture.attempts;
import static tinford.decision.DecisionFixture.limits;
import static tinford.decision.DecisionFixture.plan;
import static tinford.decision.DecisionFixture.tenant;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.api.Request;
import tinford.api.Tenant;

/** Choice of servers by latency, outlier detection and the limit on a gateway's open attempts. */
public class LoadBalancerTest {
    /** A plan that admits every request of a test. */
    private final Tenant tenant = tenant(plan(1, 0, 0, 0));

    /** Returns one of 14 gateways, with far more servers than its traffic needs. */
    private static DecisionFixture gatewayWithSixtyServers() {
        DecisionFixture gateway = new DecisionFixture(limits(false), true, false, 14);
        String[] ids = IntStream.range(0, 60).mapToObj(i -> "s" + i).toArray(String[]::new);
        gateway.setEndpointList(ids);
        return gateway;
    }

    private static String chosenServer(DecisionFixture gateway, Request request) {
        return attemptedServers(gateway.arrive(request, 0, 0.1)).get(0);
    }

    @Test
    public void equallySlowServersAreNoOutliers() {
        DecisionFixture gateway = new DecisionFixture();
        long sent = 0;
        for (int i = 0; i < 40; i++) {
            Request request = gateway.request(tenant, READ, 0.1);
            if (attempts(gateway.arrive(request, 0, 0.1)) > 0) {
                sent++;
                gateway.succeed(request, 2500);
            }
            gateway.advance(100);
        }
        assertEquals(sent, 40);
    }

    /**
     * A server that fails immediately always has free slots, and would attract most requests if it
     * were not ejected.
     */
    @Test
    public void immediatelyFailingServerGetsFewAttempts() {
        DecisionFixture gateway = new DecisionFixture();
        List<Request> inFlight = new ArrayList<>();
        long failed = 0;
        for (int i = 0; i < 400; i++) {
            Request request = gateway.request(tenant, READ, 0.1);
            for (String server : attemptedServers(gateway.arrive(request, 0, 0.1))) {
                if (server.equals("s2")) {
                    failed++;
                    gateway.endAttempt(request, 0, AttemptOutcome.ERROR, 2, false);
                } else {
                    inFlight.add(request);
                }
            }
            if (inFlight.size() > 3) {
                gateway.succeed(inFlight.remove(0), 200);
            }
            gateway.advance(50);
        }
        assertTrue(failed >= 2 && failed <= 6, "retried with growing backoff, attempts: " + failed);
    }

    /** Latency of the first chosen server in ms, maximum number of attempts it may get of 120. */
    @DataProvider
    Object[][] firstServerLatencies() {
        return new Object[][] {{200, 120}, {1400, 12}};
    }

    /** A gateway with little traffic uses few servers, and stops using one that is slow. */
    @Test(dataProvider = "firstServerLatencies")
    public void lowTrafficUsesFewFastServers(double firstLatencyMs, int maxAttempts) {
        DecisionFixture gateway = gatewayWithSixtyServers();
        List<String> chosen = new ArrayList<>();
        for (int i = 0; i < 120; i++) {
            Request request = gateway.request(tenant, READ, 0.1);
            chosen.add(chosenServer(gateway, request));
            boolean first = chosen.get(i).equals(chosen.get(0));
            gateway.advance(250);
            gateway.succeed(request, first ? firstLatencyMs : 200);
        }
        long attemptsAtFirst = chosen.stream().filter(chosen.get(0)::equals).count();
        long servers = chosen.stream().distinct().count();
        assertTrue(attemptsAtFirst <= maxAttempts, attemptsAtFirst + ": " + chosen);
        assertTrue(servers <= 6, servers + " servers: " + chosen);
    }

    /** Latency is normalised by the units of a request, as a large one is slow at any server. */
    @Test
    public void largeRequestsDoNotMakeAServerSlow() {
        DecisionFixture gateway = gatewayWithSixtyServers();
        Tenant largeTenant = tenant(LARGE_PLAN);
        List<String> chosen = new ArrayList<>();
        for (int i = 0; i < 240; i++) {
            Request request = gateway.request(largeTenant, READ, i % 10 == 0 ? 6 : 1);
            chosen.add(chosenServer(gateway, request));
            gateway.advance(50);
            gateway.succeed(request, 200 * request.units);
        }
        long servers = chosen.subList(60, 240).stream().distinct().count();
        assertEquals(servers, 1, chosen.toString());
    }

    /** Number of gateways, minimum and maximum number of attempts in flight for 40 requests. */
    @DataProvider
    Object[][] gatewayCounts() {
        return new Object[][] {{2, 6, 30}, {100, 1, 2}, {330, 1, 2}};
    }

    /** Three servers take five attempts each over all gateways, at least one per gateway. */
    @Test(dataProvider = "gatewayCounts")
    public void attemptsInFlightStayWithinTheGatewaysPartOfTheCapacity(
            int gatewayCount, int min, int max) {
        DecisionFixture gateway = new DecisionFixture(limits(false), false, false, gatewayCount);
        gateway.setEndpointList("s1", "s2", "s3");
        gateway.advance(250);
        Tenant openTenant = tenant(FAIL_OPEN_PLAN);
        long inFlight = 0;
        for (int i = 0; i < 40; i++) {
            inFlight += attempts(gateway.arrive(gateway.request(openTenant, READ, 0.1)));
        }
        assertTrue(inFlight >= min && inFlight <= max, gatewayCount + " gateways: " + inFlight);
    }
}
