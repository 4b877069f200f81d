package tinford.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.decision.DecisionFixture.FAIL_CLOSED_PLAN;
import static tinford.decision.DecisionFixture.LARGE_PLAN;
import static tinford.decision.DecisionFixture.READ;
import static tinford.decision.DecisionFixture.attemptedServers;
import static tinford.decision.DecisionFixture.attempts;
import static tinford.decision.DecisionFixture.rejections;
import static tinford.decision.DecisionFixture.tenant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.api.Request;
import tinford.api.Server;
import tinford.api.Tenant;

/** Servers that are warming up get a share of a warm server's traffic. */
public class SlowStartTest {
    private final Tenant tenant = tenant(LARGE_PLAN);

    /** Units of nine out of ten requests, units of the tenth. */
    @DataProvider
    Object[][] requestSizes() {
        return new Object[][] {{0.1, 0.1}, {0.1, 0.9}, {0.1, 2.0}};
    }

    /** The share rises from 0.18 to 0.6 of a warm server's units, independent of request sizes. */
    @Test(dataProvider = "requestSizes")
    public void warmingServerGetsItsShareOfTheUnits(double small, double large) {
        DecisionFixture gateway = new DecisionFixture();
        List<Request> inFlight = new ArrayList<>();
        double warmUnits = 0;
        double warmingUnits = 0;
        for (int i = 0; i < 700; i++) {
            if (i == 500) {
                gateway.server("cold").updateStartTime(gateway.nowMs);
                gateway.setEndpointList("s1", "s2", "s3", "cold");
            }
            Request request = gateway.request(tenant, READ, i % 10 == 0 ? large : small);
            List<String> servers = attemptedServers(gateway.arrive(request, 0, 0.1));
            for (String server : servers) {
                boolean warming = server.equals("cold");
                double units = i >= 500 ? request.units : 0;
                warmUnits += warming ? 0 : units;
                warmingUnits += warming ? units : 0;
            }
            if (!servers.isEmpty()) {
                inFlight.add(request);
            }
            if (inFlight.size() > 4) {
                gateway.succeed(inFlight.remove(0));
            }
            gateway.advance(50);
        }
        double share = 3 * warmingUnits / warmUnits;
        assertTrue(share > 0.26 && share < 0.6, "share: " + share);
    }

    /** Outcome of the attempts at warm servers, whether it earns a warming server attempts. */
    @DataProvider
    Object[][] warmOutcomes() {
        return new Object[][] {
            {AttemptOutcome.SUCCESS, true},
            {AttemptOutcome.OVERLOADED, false},
            {AttemptOutcome.TIMED_OUT, false},
            {AttemptOutcome.CONNECTION_LOST, false}
        };
    }

    /** Only successes earn credit: failing warm servers show no spare capacity of warming ones. */
    @Test(dataProvider = "warmOutcomes")
    public void warmingServerEarnsAttemptsBySuccessesOfWarmOnes(
            AttemptOutcome outcome, boolean earns) {
        DecisionFixture gateway = new DecisionFixture();
        gateway.server("cold").updateStartTime(gateway.nowMs);
        gateway.setEndpointList("s1", "s2", "s3", "cold");
        long toWarm = 0;
        long toWarming = 0;
        for (int i = 0; i < 40; i++) {
            Request request = gateway.request(tenant, READ, 0.1);
            List<String> servers = attemptedServers(gateway.arrive(request, 0, 0.1));
            for (int attempt = 0; !servers.isEmpty(); attempt++) {
                boolean warming = servers.contains("cold");
                toWarm += warming ? 0 : 1;
                toWarming += warming ? 1 : 0;
                List<String> actions =
                        gateway.endAttempt(
                                request,
                                attempt,
                                warming ? AttemptOutcome.NOT_SENT : outcome,
                                outcome == AttemptOutcome.SUCCESS);
                servers = attemptedServers(actions);
            }
            gateway.handle(events -> events.clientDisconnected(request));
            gateway.advance(200);
        }
        assertTrue(toWarm >= 10, "to warm servers: " + toWarm);
        assertTrue(
                earns ? toWarming > 1 : toWarming == 0,
                toWarming + " to the warming server, " + toWarm + " to warm servers");
    }

    @Test
    public void rejectedRequestsEarnNoCreditWhenNoServerIsWarm() {
        DecisionFixture gateway = new DecisionFixture();
        String[] ids = {"c1", "c2", "c3", "c4", "c5"};
        for (String id : ids) {
            gateway.server(id).updateStartTime(gateway.nowMs);
        }
        gateway.setEndpointList(ids);
        Tenant exhausted = tenant(FAIL_CLOSED_PLAN);
        for (int i = 0; i < 60; i++) {
            Request request = gateway.request(exhausted, READ, 1);
            assertEquals(rejections(gateway.arrive(request, 0, 1e6)), 1);
        }
        Tenant withinQuota = new Tenant(6, FAIL_CLOSED_PLAN, 2, 0);
        long sent = 0;
        for (int i = 1; i <= 5; i++) {
            sent += attempts(gateway.arrive(gateway.request(withinQuota, READ, 1), 0, i));
        }
        assertTrue(sent < 3, "sent at once: " + sent + " of 5");
    }

    /** Guards against all gateways sending their first earned attempt to the same server. */
    @Test
    public void warmingServersAreChosenInRandomOrder() {
        DecisionFixture gateway = new DecisionFixture();
        List<Server> warming =
                List.of(
                        gateway.server("c1"),
                        gateway.server("c2"),
                        gateway.server("c3"),
                        gateway.server("c4"));
        Map<String, Integer> firstChoices = new HashMap<>();
        for (int round = 0; round < 12; round++) {
            drain(gateway, warming);
            List<Request> inFlight = startRequests(gateway, 6);
            restart(gateway, warming);
            // each warming server earns an attempt
            inFlight.forEach(gateway::succeed);
            Request request = gateway.request(tenant, READ, 1);
            for (String server : attemptedServers(gateway.arrive(request, 0, 1))) {
                firstChoices.merge(server, 1, Integer::sum);
            }
            gateway.succeed(request);
        }
        int choices = firstChoices.values().stream().mapToInt(Integer::intValue).sum();
        assertEquals(choices, 12, firstChoices.toString());
        assertTrue(firstChoices.size() > 2, firstChoices.toString());
        assertTrue(
                firstChoices.keySet().stream().allMatch(id -> id.startsWith("c")),
                firstChoices.toString());
    }

    private static void drain(DecisionFixture gateway, List<Server> servers) {
        servers.forEach(server -> server.updateState(Server.State.DRAINING));
        gateway.handle(events -> events.endpointsUpdated(servers, false));
    }

    private static void restart(DecisionFixture gateway, List<Server> servers) {
        for (Server server : servers) {
            server.updateState(Server.State.UP);
            server.updateStartTime(gateway.nowMs - 8000);
        }
        gateway.handle(events -> events.endpointsUpdated(servers, false));
    }

    private List<Request> startRequests(DecisionFixture gateway, int count) {
        List<Request> started = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Request request = gateway.request(tenant, READ, 1);
            assertEquals(attempts(gateway.arrive(request, 0, 1)), 1);
            started.add(request);
        }
        return started;
    }
}
