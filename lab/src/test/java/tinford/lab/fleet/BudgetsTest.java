package tinford.lab.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import tinford.decision.DecisionEngine;
import tinford.lab.model.Simulation;
import tinford.lab.scenario.Scenario;
import tinford.lab.sockets.BenchInterceptor;

/** Connections that servers offer, divided by real gateways with a real log among them. */
public class BudgetsTest {
    private static final Path JAR = Path.of("..", "fleet", "target", "tinford-fleet.jar");
    private static final Path SCENARIOS = Path.of("scenarios");
    private static final String FAULTS =
            """
            scenario = "tight.toml"
            offer = 6
            idle = 1500
            [set]
            length_s = "13"
            [[faults]]
            kind = "GATEWAY_KILLED"
            at_s = 6
            who = [4]
            [[faults]]
            kind = "GATEWAY_PAUSED"
            at_s = 7
            for_s = 4
            who = [1]
            """;

    /**
     * One gateway is killed, one stands still past its term and wakes up: no server ever holds more
     * than it offers.
     */
    @Test
    public void noServerHoldsMoreThanItOffers() throws Exception {
        Path folder = Files.createTempDirectory("budgets");
        try {
            FleetScript script = FleetScript.of("faults", FAULTS);
            Scenario s = script.scenario(SCENARIOS.resolve("faults.toml"), 5);
            Simulation drawn = new Simulation(s, 3, DecisionEngine::new);
            drawn.run();
            String operator = Files.readString(SCENARIOS.resolve("budgets-operator.toml"));
            List<String> words = new ArrayList<>(BenchInterceptor.JAVA);
            words.addAll(List.of("-jar", JAR.toString(), "serve"));
            GatewayProgram program =
                    new GatewayProgram(words, Map.of(), slot -> slot.fill(operator), true);
            try (FleetBench bench = new FleetBench(script, s, program, 3, folder)) {
                Map<String, Double> figures = bench.run(drawn.asked());
                assertEquals(bench.broken(), List.of(), bench.broken().toString());
                List<History.Line> lines = bench.history();
                assertTrue(figures.get("held_most") > 12, "12 are static: " + figures);
                assertTrue(figures.get("worth_passed") > 0.3, figures.toString());
                assertTrue(
                        lines.stream()
                                .anyMatch(
                                        l ->
                                                l.kind().equals("term")
                                                        && l.gateway() == 1
                                                        && l.is("holds")),
                        "it had a term");
                double woke =
                        lines.stream()
                                .filter(l -> l.kind().equals("continued"))
                                .findFirst()
                                .orElseThrow()
                                .at();
                assertTrue(
                        lines.stream()
                                .anyMatch(
                                        l ->
                                                l.kind().equals("term")
                                                        && l.gateway() == 1
                                                        && !l.is("holds")
                                                        && l.at() > woke),
                        "it sees that its term is over");
                System.out.println("budgets, five gateways: " + figures);
            }
        } finally {
            Processes.delete(folder);
        }
    }
}
