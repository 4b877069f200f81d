package tinford.lab.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.Decide;
import tinford.api.Effect;
import tinford.api.End;
import tinford.api.Gateway;
import tinford.api.Inbox;
import tinford.api.Req;
import tinford.api.Srv;
import tinford.api.Writer;
import tinford.lab.Scenarios;
import tinford.lab.scenario.Scenario;

/** Decisions that break a rule on purpose are caught, and told with the story of a request. */
public class OracleTest {
    /** Sends each request to the next server and passes on how it ends, but for one fault. */
    static final class Rogue implements Gateway, Inbox {
        private final String fault;
        private final List<Srv> servers = new ArrayList<>();
        private Writer out;
        private int next;

        Rogue(String fault) {
            this.fault = fault;
        }

        @Override
        public void round(double now, Feed feed, Writer writer) {
            out = writer;
            feed.replay(this);
        }

        @Override
        public void listed(List<Srv> entries, boolean whole) {
            for (Srv s : entries) {
                servers.remove(s);
                if (s.state == Srv.State.UP || fault.equals("drain")) {
                    servers.add(s);
                }
            }
        }

        private void send(Req request) {
            Srv s = servers.get(next++ % servers.size());
            if (fault.equals("cold")) {
                s = servers.stream().filter(x -> x.born > 0).findFirst().orElse(s);
            }
            out.dispatch(request, s, 0, Double.POSITIVE_INFINITY);
        }

        @Override
        public void arrived(Req request) {
            if (fault.equals("silent") && next++ % 50 == 0) {
                return;
            }
            send(request);
            if (fault.equals("copies") && next % 50 == 0) {
                send(request);
            }
        }

        @Override
        public void ended(
                Req request,
                int hop,
                End how,
                double took,
                boolean closed,
                int seenUse,
                double settled,
                double[] load) {
            if (closed) {
                if (fault.equals("twice") && next % 50 == 0) {
                    out.abort(request);
                }
                return;
            }
            if (how.mayHaveRun && fault.equals("denies")) {
                out.deny(request, 0);
            } else if (how.mayHaveRun && fault.equals("again") && hop == 0) {
                send(request);
            } else if (how.mayHaveRun) {
                out.abort(request);
            } else {
                out.deny(request, 0);
            }
        }

        @Override
        public void started() {}

        @Override
        public void takesOver() {}

        @Override
        public void leaves() {}

        @Override
        public void listRefused() {}

        @Override
        public void began(Req request, int hop) {}

        @Override
        public void left(Req request) {}

        @Override
        public void alarm(long token) {}

        @Override
        public void probed(Srv srv, End how, double took, double[] load) {}

        @Override
        public void heard(int peer, String text) {}

        @Override
        public void counted(long name, End how, double took, double total) {}

        @Override
        public void countedLate(long name, double total) {}
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
        Outcome o =
                new World(
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
                            Effect.valueOf(effect));
            for (int seed = 0; seed < 5; seed++) {
                Outcome o = new World(s, seed, Decide::new).run();
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
                new World(s, 9, Decide::new).run().figures(),
                new World(s, 9, Decide::new).run().figures());
        assertTrue(
                !new World(s, 9, Decide::new)
                        .run()
                        .figures()
                        .equals(new World(s, 10, Decide::new).run().figures()));
    }
}
