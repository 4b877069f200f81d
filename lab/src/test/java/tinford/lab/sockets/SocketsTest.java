package tinford.lab.sockets;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.Idempotency;
import tinford.decision.DecisionEngine;
import tinford.lab.Scenarios;
import tinford.lab.model.RunResult;
import tinford.lab.model.Simulation;
import tinford.lab.scenario.Scenario;
import tinford.lab.scenario.Trace;

/** The stand-ins with real gateways, on loopback, beside the model. */
public class SocketsTest {
    /** As the build of the gateway, which comes before this module's, leaves it. */
    private static final Path JAR = Path.of("..", "gateway", "target", "tinford.jar");

    private static Map<String, Double> play(Scenario s, Trace trace, int seed, List<String> broken)
            throws Exception {
        Path folder = Files.createTempDirectory("lab");
        try (SocketBench bench = new SocketBench(s, seed, JAR, folder)) {
            Map<String, Double> found = bench.run(trace);
            broken.addAll(bench.broken());
            return found;
        } finally {
            try (var files = Files.list(folder)) {
                for (Path p : files.toList()) {
                    Files.delete(p);
                }
            }
            Files.delete(folder);
        }
    }

    /**
     * Servers die, the counter falls silent: every request has its answer, no rule is broken, and
     * the model says much the same.
     */
    @Test
    public void modelAndSocketsAgree() throws Exception {
        Scenario s =
                Scenario.of(
                        "small",
                        Scenarios.text(
                                0,
                                """
                                [[faults]]
                                kind = "SERVERS_DIE"
                                at_s = 2
                                for_s = 1
                                part = 0.3
                                size = 0
                                [[faults]]
                                kind = "COUNTER_SILENT"
                                at_s = 1
                                for_s = 2
                                part = 0
                                size = 1
                                """,
                                Idempotency.IDEMPOTENT),
                        Map.of("length_s", "5", "clients.retries", "0", "clients.leave", "0"));
        Simulation drawn = new Simulation(s, 5, DecisionEngine::new);
        drawn.run();
        Trace trace = drawn.asked();
        List<String> broken = new java.util.ArrayList<>();
        Map<String, Double> sockets = play(s, trace, 5, broken);
        RunResult model = new Simulation(s, 5, DecisionEngine::new, trace).run();
        assertEquals(broken, List.of());
        assertEquals(model.broken(), List.of());
        assertEquals(sockets.get("tries"), (double) trace.asks().size());
        assertEquals(sockets.get("unanswered"), 0.0);
        assertEquals(
                sockets.get("service"),
                model.service(),
                0.2,
                sockets + " against " + model.figures());
        assertEquals(sockets.get("denied"), model.figures().get("denied"), 0.2);
    }

    /** A gateway that is killed answers nothing; its successor does, and the other never stops. */
    @Test
    public void aKilledGatewayIsMissedUntilItIsBack() throws Exception {
        Scenario s =
                Scenario.of(
                        "small",
                        Scenarios.text(
                                0,
                                """
                                [[faults]]
                                kind = "GATEWAYS_DIE"
                                at_s = 1
                                for_s = 0.2
                                part = 0.5
                                size = 0
                                """,
                                Idempotency.IDEMPOTENT),
                        Map.of("length_s", "5", "clients.retries", "0", "clients.leave", "0"));
        Simulation drawn = new Simulation(s, 6, DecisionEngine::new);
        drawn.run();
        List<String> broken = new java.util.ArrayList<>();
        Map<String, Double> sockets = play(s, drawn.asked(), 6, broken);
        assertEquals(broken, List.of());
        assertTrue(
                sockets.get("unanswered") > 0 && sockets.get("unanswered") < 0.5,
                sockets.toString());
        assertTrue(sockets.get("service") > 0.4, sockets.toString());
    }

    @DataProvider
    public Object[][] rogues() {
        return new Object[][] {
            {"silent", "lost: no answer by the client timeout"},
            {"invents", "lost: req "},
            {"copies", "effect: two dispatches out at once"},
            {"again", "effect: dispatched again though it may have run"},
            {"denies", "effect: denied though it may have run"},
            {"drains", "drain: sent "},
            {"ceilings", "ceiling: customer "},
        };
    }

    /** Programs that break a rule on purpose are caught on sockets as in the model. */
    @Test(dataProvider = "rogues")
    public void aBrokenRuleIsCaught(String fault, String told) throws Exception {
        Scenario s =
                Scenario.of(
                        "small",
                        Scenarios.text(
                                fault.equals("ceilings") ? 0.1 : 0,
                                """
                                [[faults]]
                                kind = "SERVERS_DIE"
                                at_s = 1.5
                                for_s = 0.2
                                part = 0.6
                                size = 0
                                [[faults]]
                                kind = "FLEET_SHRINKS"
                                at_s = 1.8
                                for_s = 0.1
                                part = 0.3
                                size = 0
                                """,
                                Idempotency.NON_IDEMPOTENT),
                        Map.of(
                                "length_s",
                                "4",
                                "clients.retries",
                                "0",
                                "clients.leave",
                                "0",
                                "servers.cold_time",
                                "1"));
        Simulation drawn = new Simulation(s, 7, DecisionEngine::new);
        drawn.run();
        Path folder = Files.createTempDirectory("lab");
        String classes =
                System.getProperty(
                        "surefire.test.class.path", System.getProperty("java.class.path"));
        try (SocketBench bench =
                new SocketBench(
                        s,
                        7,
                        List.of("-cp", classes, "tinford.lab.sockets.MisbehavingClient", fault),
                        folder)) {
            bench.run(drawn.asked());
            List<String> broken = bench.broken();
            assertTrue(broken.stream().anyMatch(b -> b.startsWith(told)), fault + ": " + broken);
        } finally {
            try (var files = Files.list(folder)) {
                for (Path p : files.toList()) {
                    Files.delete(p);
                }
            }
            Files.delete(folder);
        }
    }

    /** What belongs to the agenda happens on its thread, in time, however it is posted. */
    @Test
    public void theLiveAgendaKeepsTime() throws Exception {
        try (WallClockEventQueue live = new WallClockEventQueue()) {
            CountDownLatch done = new CountDownLatch(3);
            double from = live.now();
            double[] at = new double[2];
            live.post(
                    () ->
                            live.agenda()
                                    .after(
                                            30,
                                            () -> {
                                                at[0] = live.now();
                                                live.agenda()
                                                        .after(
                                                                20,
                                                                () -> {
                                                                    at[1] = live.now();
                                                                    done.countDown();
                                                                });
                                                done.countDown();
                                            }));
            live.post(done::countDown);
            assertTrue(done.await(10, TimeUnit.SECONDS));
            assertTrue(at[0] >= from + 30 && at[1] >= from + 50, from + " " + at[0] + " " + at[1]);
        }
    }

    /** A value cut off, or a length out of all bounds, is an error and no answer. */
    @Test
    public void halfAnswersAreNone() throws Exception {
        for (String bytes : new String[] {"$5\r\nab", "$99999999\r\n", "+PO", "$x\r\n"}) {
            try (ServerSocket door = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                    RespConnection w =
                            new RespConnection(
                                    new Socket(
                                            InetAddress.getLoopbackAddress(),
                                            door.getLocalPort()))) {
                try (RespConnection other = new RespConnection(door.accept())) {
                    other.say(bytes);
                }
                boolean failed = false;
                try {
                    w.answer();
                } catch (IOException | NumberFormatException e) {
                    failed = true;
                }
                assertTrue(failed, bytes);
            }
        }
    }
}
