package tinford.lab.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.api.DecisionModule;
import tinford.api.GatewayActions;
import tinford.api.GatewayEvents;
import tinford.api.Idempotency;
import tinford.api.Request;
import tinford.api.Server;
import tinford.decision.DecisionEngine;
import tinford.lab.Scenarios;
import tinford.lab.scenario.Scenario;

/** Decisions that break a rule on purpose are caught, and told with the story of a request. */
public class OracleTest {
    /** Sends each request to the next server and passes on how it ends, but for one fault. */
    static final class Rogue implements DecisionModule, GatewayEvents {
        private final String fault;
        private final List<Server> servers = new ArrayList<>();
        private GatewayActions out;
        private int next;

        Rogue(String fault) {
            this.fault = fault;
        }

        @Override
        public void handleBatch(double now, EventBatch feed, GatewayActions writer) {
            out = writer;
            feed.replay(this);
        }

        @Override
        public void endpointsUpdated(List<Server> entries, boolean whole) {
            for (Server s : entries) {
                servers.remove(s);
                if (s.state() == Server.State.UP || fault.equals("drain")) {
                    servers.add(s);
                }
            }
        }

        private void send(Request request) {
            Server s = servers.get(next++ % servers.size());
            if (fault.equals("cold")) {
                s = servers.stream().filter(x -> x.startedAtMs() > 0).findFirst().orElse(s);
            }
            out.sendAttempt(request, s, 0, Double.POSITIVE_INFINITY);
        }

        @Override
        public void requestArrived(Request request) {
            if (fault.equals("silent") && next++ % 50 == 0) {
                return;
            }
            send(request);
            if (fault.equals("copies") && next % 50 == 0) {
                send(request);
            }
        }

        @Override
        public void attemptEnded(
                Request request,
                int attempt,
                AttemptOutcome how,
                double took,
                boolean closed,
                int seenUse,
                double settled,
                double[] load) {
            if (closed) {
                if (fault.equals("twice") && next % 50 == 0) {
                    out.fail(request);
                }
                return;
            }
            if (how.mayHaveRun && fault.equals("denies")) {
                out.reject(request, 0);
            } else if (how.mayHaveRun && fault.equals("again") && attempt == 0) {
                send(request);
            } else if (how.mayHaveRun) {
                out.fail(request);
            } else {
                out.reject(request, 0);
            }
        }

        @Override
        public void started() {}

        @Override
        public void takeoverStarted() {}

        @Override
        public void drainingStarted() {}

        @Override
        public void discoveryFailed() {}

        @Override
        public void responseStarted(Request request, int attempt) {}

        @Override
        public void clientDisconnected(Request request) {}

        @Override
        public void timerFired(long token) {}

        @Override
        public void healthCheckEnded(
                Server server, AttemptOutcome how, double took, double[] load) {}

        @Override
        public void gossipReceived(int peer, String text) {}

        @Override
        public void counterAnswered(long name, AttemptOutcome how, double took, double total) {}

        @Override
        public void counterAnsweredLate(long name, double total) {}
    }

    @DataProvider
    public Object[][] rogues() {
        return new Object[][] {
            {"silent", "lost: no answer by the client timeout"},
            {"twice", "lost: a second final answer"},
            {"copies", "effect: two dispatches out at once"},
            {"again", "effect: dispatched again though it may have run"},
            {"denies", "effect: denied though it may have run"},
            {"drain", "drain: sent "},
            {"cold", "cold: s"},
            {"ceiling", "ceiling: customer "},
        };
    }

    @Test(dataProvider = "rogues")
    public void aBrokenRuleIsCaught(String fault, String told) throws Exception {
        Scenario s =
                Scenarios.small(
                        fault.equals("ceiling") ? 0.3 : 0,
                        """
                        [[faults]]
                        kind = "SERVERS_DIE"
                        at_s = 3
                        for_s = 1
                        part = 0.5
                        size = 0
                        [[faults]]
                        kind = "FLEET_SHRINKS"
                        at_s = 6
                        for_s = 1
                        part = 0.3
                        size = 0
                        """);
        RunResult o =
                new Simulation(
                                s,
                                3,
                                (seed, place, limits, rules, counter, goal, mustAsk) ->
                                        new Rogue(fault))
                        .run();
        String found = o.broken().stream().filter(b -> b.startsWith(told)).findFirst().orElse("");
        assertTrue(!found.isEmpty(), fault + ": " + o.broken());
        assertTrue(told.startsWith("cold") || found.contains("; req "), "with its story: " + found);
        assertTrue(o.conserved());
    }

    /** The real decisions keep all rules where the rogues broke them. */
    @Test
    public void theDecisionsKeepThem() throws Exception {
        for (String effect : List.of("IDEMPOTENT", "IDEMPOTENCY_KEY", "NON_IDEMPOTENT")) {
            Scenario s =
                    Scenarios.small(
                            0.3,
                            """
                            [[faults]]
                            kind = "SERVERS_DIE"
                            at_s = 3
                            for_s = 1
                            part = 0.5
                            size = 0
                            [[faults]]
                            kind = "GATEWAYS_DIE"
                            at_s = 5
                            for_s = 1
                            part = 0.5
                            size = 0
                            [[faults]]
                            kind = "FLEET_SHRINKS"
                            at_s = 6
                            for_s = 1
                            part = 0.3
                            size = 0
                            [[faults]]
                            kind = "COUNTER_SILENT"
                            at_s = 2
                            for_s = 5
                            part = 0
                            size = 1
                            """,
                            Idempotency.valueOf(effect));
            for (int seed = 0; seed < 5; seed++) {
                RunResult o = new Simulation(s, seed, DecisionEngine::new).run();
                assertEquals(o.broken(), List.of(), effect + ", seed " + seed);
                assertTrue(o.conserved(), "each try ends once");
                assertTrue(o.service() > 0.3 && o.tries() > 500, o.figures().toString());
            }
        }
    }

    @Test
    public void theSameSeedIsTheSameDay() throws Exception {
        Scenario s = Scenarios.small(0.3, "");
        assertEquals(
                new Simulation(s, 9, DecisionEngine::new).run().figures(),
                new Simulation(s, 9, DecisionEngine::new).run().figures());
        assertTrue(
                !new Simulation(s, 9, DecisionEngine::new)
                        .run()
                        .figures()
                        .equals(new Simulation(s, 10, DecisionEngine::new).run().figures()));
    }
}
