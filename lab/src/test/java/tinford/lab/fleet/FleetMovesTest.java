package tinford.lab.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.testng.annotations.Test;
import tinford.api.Idempotency;
import tinford.decision.DecisionEngine;
import tinford.lab.Scenarios;
import tinford.lab.model.Simulation;
import tinford.lab.scenario.Scenario;
import tinford.lab.sockets.BenchInterceptor;

/**
 * Real processes move three frontends that need each other, under load, while gateways fail in each
 * stage.
 */
public class FleetMovesTest {
    private static final Path JAR = Path.of("..", "fleet", "target", "tinford-fleet.jar");
    private static final String OPERATOR =
            """
            [log]
            members = {members}
            folder = "{disk}"
            term_ms = 1500
            clocks_apart_ms = 50
            linger_ms = 4000
            [moves]
            on = true
            plan = "%s"
            homes = ["web=a", "mid=a", "base=a"]
            rooms = ["a=1000,1000", "b=1000,1000"]
            """;
    private static final String FAULTS =
            """
            scenario = "small"
            groups = ["a", "b"]
            [[faults]]
            kind = "GATEWAY_RESTARTED"
            at_s = 5
            for_s = 0.5
            who = [1]
            [[faults]]
            kind = "GATEWAY_PAUSED"
            at_s = 9
            for_s = 2.5
            who = [2]
            [[faults]]
            kind = "LINK_CUT"
            at_s = 14
            for_s = 2.5
            who = [0]
            both = true
            """;

    private static String frontend(String name, Idempotency effect) {
        return """
               [[frontends]]
               name = "%s"
               share = 1
               work = 20
               dist = "EXPONENTIAL"
               cv = 1
               target = 500
               timeout = 1000
               value = 1
               effect = "%s"
               repeat_window = 1000
               """
                .formatted(name, effect);
    }

    private static String mover(String name, String needs) {
        return """
               [[frontends]]
               name = "%s"
               from = "a"
               to = "b"
               needs = [%s]
               shares = [0.5, 1.0]
               units = 300.0
               connections = 300
               """
                .formatted(name, needs);
    }

    static final String PLAN =
            "plan = \"p\"\nsoak_ms = 500\n[bad]\nmargin = 0.3\nanswers = 60\n"
                    + mover("web", "\"mid\"")
                    + mover("mid", "\"base\"")
                    + mover("base", "");

    /** Gives orders as operators do, when the histories say that their time has come. */
    private static final class Operators extends Thread {
        final FleetBench bench;
        final Path folder;
        final List<String> failed = new ArrayList<>();

        Operators(FleetBench bench, Path folder) {
            this.bench = bench;
            this.folder = folder;
        }

        private void order(int gateway, String line) throws Exception {
            Path at = folder.resolve("gateway" + gateway).resolve("disk");
            Files.writeString(at.resolve("new"), line + "\n");
            Files.move(at.resolve("new"), at.resolve("moves.order"));
        }

        private void when(Predicate<List<History.Line>> what) throws Exception {
            FleetTest.until(
                    () -> {
                        try {
                            return what.test(bench.history());
                        } catch (java.io.IOException | RuntimeException e) {
                            return false; // a line has come in part
                        }
                    },
                    () -> "not yet");
        }

        @Override
        public void run() {
            try {
                when(
                        h ->
                                List.of(0, 1, 2).stream()
                                        .allMatch(
                                                g ->
                                                        h.stream()
                                                                .anyMatch(
                                                                        l ->
                                                                                l.kind()
                                                                                                .equals(
                                                                                                        "term")
                                                                                        && l.is(
                                                                                                "holds")
                                                                                        && l
                                                                                                        .gateway()
                                                                                                == g)));
                when(h -> h.stream().anyMatch(l -> l.kind().equals("begun")));
                order(0, "begin one");
                order(1, "begin two");
            } catch (Exception | AssertionError e) {
                failed.add(e.toString());
            }
        }
    }

    static void play(
            String faults,
            String plan,
            int length,
            Path folder,
            List<String> broken,
            List<History.Line> lines,
            Map<String, Double> figures)
            throws Exception {
        FleetScript script = FleetScript.of("faults", faults);
        String text = Scenarios.text(0, "", Idempotency.IDEMPOTENCY_KEY);
        int from = text.indexOf("[[frontends]]");
        text =
                text.substring(0, from)
                        + frontend("web", Idempotency.IDEMPOTENT)
                        + frontend("mid", Idempotency.IDEMPOTENCY_KEY)
                        + frontend("base", Idempotency.IDEMPOTENT)
                        + text.substring(text.indexOf("[[plans]]"));
        Scenario s =
                Scenario.of(
                        "small",
                        text,
                        Map.of(
                                "gateways",
                                "3",
                                "length_s",
                                Integer.toString(length),
                                "clients.retries",
                                "0",
                                "clients.leave",
                                "0",
                                "servers.count",
                                "16",
                                "plans.p.rate",
                                "2"));
        script.check("faults", s.length_s(), 3);
        Simulation drawn = new Simulation(s, 5, DecisionEngine::new);
        drawn.run();
        Path file = folder.resolve("plan.toml");
        Files.writeString(file, plan);
        List<String> words = new ArrayList<>(BenchInterceptor.JAVA);
        words.remove("-Xmx64m");
        words.addAll(List.of("-Xmx160m", "-jar", JAR.toString(), "serve"));
        GatewayProgram program =
                new GatewayProgram(
                        words, Map.of(), slot -> slot.fill(OPERATOR.formatted(file)), true);
        try (FleetBench bench = new FleetBench(script, s, program, 5, folder)) {
            Operators operators = new Operators(bench, folder);
            operators.start();
            figures.putAll(bench.run(drawn.asked()));
            operators.join();
            broken.addAll(operators.failed);
            broken.addAll(bench.broken());
            lines.addAll(bench.history());
        }
    }

    @Test
    public void aMoveUnderFaults() throws Exception {
        Path folder = Files.createTempDirectory("moves");
        List<String> broken = new ArrayList<>();
        List<History.Line> lines = new ArrayList<>();
        Map<String, Double> figures = new java.util.TreeMap<>();
        boolean good = false;
        try {
            play(FAULTS, PLAN, 30, folder, broken, lines, figures);
            assertEquals(broken.toString(), "[]", "in " + folder);
            assertTrue(
                    lines.stream()
                            .anyMatch(
                                    l ->
                                            l.kind().equals("moved")
                                                    && l.text("state").equals("DONE")));
            good = true;
        } finally {
            if (good) {
                Processes.delete(folder);
            } // else it is left for a look
        }
    }
}
