package tinford.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.decision.DecisionFixture.ATTEMPT;
import static tinford.decision.DecisionFixture.READ;
import static tinford.decision.DecisionFixture.REJECT;
import static tinford.decision.DecisionFixture.attemptedServers;
import static tinford.decision.DecisionFixture.attempts;
import static tinford.decision.DecisionFixture.count;
import static tinford.decision.DecisionFixture.limits;
import static tinford.decision.DecisionFixture.rejections;
import static tinford.decision.DecisionFixture.tenant;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.api.FleetPolicy;
import tinford.api.Plan;
import tinford.api.Request;
import tinford.api.Server;
import tinford.api.Tenant;

/** Decisions comply with the fleet's policy, and the fleet is notified of events. */
public class FleetPolicyTest {
    private static final Plan UNLIMITED_PLAN = new Plan("free", 0, 0, 0, 1, 0, 1, 0, 0, 0);

    /** The restriction that a policy applies. */
    private enum Restriction {
        NOTHING,
        ADMITTED_SHARE,
        RETRY_ALLOWANCE,
        PROBING,
        CONNECTIONS,
        TENANT_ATTEMPTS,
        SERVERS,
        OTHER_SERVERS_ON_RETRY,
        ROUTING
    }

    /** A policy with one restriction, which records its notifications. */
    private static final class RestrictingPolicy extends FleetPolicy {
        private final Restriction restriction;
        private final List<String> notifications = new ArrayList<>();

        RestrictingPolicy(Restriction restriction) {
            this.restriction = restriction;
        }

        @Override
        public double admittedShare(double weight) {
            return restriction == Restriction.ADMITTED_SHARE ? 0 : 1;
        }

        @Override
        public double retryAllowance(double ownBudget) {
            return restriction == Restriction.RETRY_ALLOWANCE ? 0 : ownBudget;
        }

        @Override
        public boolean ownsProbing(Server server) {
            return restriction != Restriction.PROBING;
        }

        @Override
        public int connectionLimit(Server server) {
            return restriction == Restriction.CONNECTIONS ? 0 : 9;
        }

        @Override
        public int tenantAttemptLimit(Tenant tenant) {
            return restriction == Restriction.TENANT_ATTEMPTS ? 0 : 9;
        }

        @Override
        public boolean allowsServer(Request request, Server server, Server earlierServer) {
            notifications.add("asked " + (earlierServer == null ? "-" : earlierServer.id));
            return switch (restriction) {
                case SERVERS -> false;
                case OTHER_SERVERS_ON_RETRY -> earlierServer == null || earlierServer == server;
                default -> true;
            };
        }

        @Override
        public boolean isRoutable(Request request) {
            return restriction != Restriction.ROUTING;
        }

        @Override
        public double retryAfterJitterMs() {
            return restriction == Restriction.ADMITTED_SHARE ? 400 : 0;
        }

        @Override
        public void requestOffered(Request request, double weight) {
            notifications.add("offered");
        }

        @Override
        public void attemptSent(Request request, Server server, double weight, boolean retry) {
            notifications.add(retry ? "retried" : "sent");
        }

        @Override
        public void attemptEnded(
                Request request, Server server, AttemptOutcome outcome, boolean late) {
            notifications.add("ended " + outcome);
        }

        @Override
        public void requestBlocked(Request request) {
            notifications.add("blocked");
        }

        @Override
        public void serverHealthChanged(Server server, boolean unhealthy) {
            notifications.add(unhealthy ? "ejected" : "recovered");
        }
    }

    private static DecisionFixture gateway(FleetPolicy policy, String... servers) {
        DecisionFixture gateway = new DecisionFixture(limits(false), false, false);
        gateway.setEndpointList(servers);
        gateway.handle(events -> events.fleetPolicyChanged(policy));
        return gateway;
    }

    private static DecisionFixture gateway(FleetPolicy policy) {
        return gateway(policy, "s1", "s2", "s3");
    }

    private static Request arrive(DecisionFixture gateway) {
        Request request = gateway.request(tenant(UNLIMITED_PLAN), READ, 1);
        gateway.arrive(request);
        return request;
    }

    /** Completes enough requests to fill the gateway's own retry budget. */
    private static void fillRetryBudget(DecisionFixture gateway) {
        for (int i = 0; i < 12; i++) {
            gateway.succeed(arrive(gateway));
        }
    }

    /** Restriction, the only action at a request's arrival or none, a notification. */
    @DataProvider
    Object[][] restrictions() {
        return new Object[][] {
            {Restriction.NOTHING, ATTEMPT, "sent"},
            {Restriction.ADMITTED_SHARE, REJECT, "offered"},
            {Restriction.ROUTING, REJECT, "offered"},
            {Restriction.CONNECTIONS, "", "blocked"},
            {Restriction.TENANT_ATTEMPTS, "", "blocked"},
            {Restriction.SERVERS, "", "asked -"},
        };
    }

    /**
     * Shed or unroutable requests are rejected at once; requests without an available connection
     * wait while they can still meet their latency objective.
     */
    @Test(dataProvider = "restrictions")
    public void firstAttemptCompliesWithThePolicy(
            Restriction restriction, String action, String notification) {
        RestrictingPolicy policy = new RestrictingPolicy(restriction);
        DecisionFixture gateway = gateway(policy);
        arrive(gateway);
        boolean waits = action.isEmpty();
        assertEquals(gateway.actions.size(), waits ? 0 : 1, gateway.actions.toString());
        assertEquals(count(gateway.actions, action), waits ? 0 : 1, gateway.actions.toString());
        assertTrue(policy.notifications.contains(notification), policy.notifications.toString());
        assertEquals(rejections(gateway.advance(3000)), waits ? 1 : 0, "one final response");
    }

    @Test
    public void retryAfterTimesOfShedRequestsAreSpread() {
        DecisionFixture gateway = gateway(new RestrictingPolicy(Restriction.ADMITTED_SHARE));
        List<Integer> retryAfterMs = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            arrive(gateway);
            retryAfterMs.add(Integer.parseInt(gateway.actions.get(0).split(" ")[2]));
        }
        assertTrue(
                retryAfterMs.stream().allMatch(ms -> ms >= 100 && ms <= 500),
                retryAfterMs.toString());
        assertTrue(retryAfterMs.stream().distinct().count() > 15, retryAfterMs.toString());
    }

    /** Restriction, outcome of the first attempt, expected action. */
    @DataProvider
    Object[][] retries() {
        return new Object[][] {
            {Restriction.NOTHING, AttemptOutcome.ERROR, ATTEMPT},
            {Restriction.RETRY_ALLOWANCE, AttemptOutcome.ERROR, REJECT},
            {Restriction.RETRY_ALLOWANCE, AttemptOutcome.OVERLOADED, ATTEMPT},
        };
    }

    /** The fleet's retry budget applies to retries of attempts that may have run, not of others. */
    @Test(dataProvider = "retries")
    public void retriesComplyWithTheFleetsBudget(
            Restriction restriction, AttemptOutcome outcome, String action) {
        RestrictingPolicy policy = new RestrictingPolicy(restriction);
        DecisionFixture gateway = gateway(policy);
        fillRetryBudget(gateway);
        Request request = arrive(gateway);
        List<String> actions = gateway.endAttempt(request, 0, outcome, false);
        assertEquals(count(actions, action), 1, actions.toString());
        assertEquals(policy.notifications.contains("retried"), action.equals(ATTEMPT));
    }

    /**
     * The policy is given the server of an earlier attempt that may have run, and decides by it.
     */
    @Test
    public void retryGoesWhereThePolicyAllowsIt() {
        RestrictingPolicy policy = new RestrictingPolicy(Restriction.OTHER_SERVERS_ON_RETRY);
        DecisionFixture gateway = gateway(policy);
        fillRetryBudget(gateway);
        Request request = arrive(gateway);
        String first = attemptedServers(gateway.actions).get(0);
        assertEquals(
                gateway.endAttempt(request, 0, AttemptOutcome.ERROR, false),
                List.of(ATTEMPT + request.id + " " + first));
        assertTrue(policy.notifications.contains("asked " + first));
    }

    @Test
    public void onlyTheProbeOwnerRetriesAnEjectedServer() {
        for (Restriction restriction : List.of(Restriction.NOTHING, Restriction.PROBING)) {
            boolean ownsProbing = restriction == Restriction.NOTHING;
            RestrictingPolicy policy = new RestrictingPolicy(restriction);
            DecisionFixture gateway = gateway(policy, "s1");
            gateway.endAttempt(arrive(gateway), 0, AttemptOutcome.UNREACHABLE, true);
            assertTrue(policy.notifications.contains("ejected"));
            gateway.advance(1000);
            Request request = arrive(gateway);
            assertEquals(
                    attempts(gateway.actions), ownsProbing ? 1 : 0, gateway.actions.toString());
            if (ownsProbing) {
                gateway.succeed(request);
            }
            assertEquals(policy.notifications.contains("recovered"), ownsProbing);
        }
    }
}
