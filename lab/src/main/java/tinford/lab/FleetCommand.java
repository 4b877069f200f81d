package tinford.lab;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tinford.decision.DecisionEngine;
import tinford.lab.fleet.FleetBench;
import tinford.lab.fleet.FleetScript;
import tinford.lab.fleet.GatewayProgram;
import tinford.lab.model.Simulation;
import tinford.lab.scenario.Scenario;
import tinford.lab.scenario.Trace;
import tinford.lab.sockets.BenchInterceptor;

/** {@code lab fleet}: real gateways under a script of faults. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description =
                "Real gateways on loopback under a script of faults, with links between all; judged"
                        + " by their histories.")
final class FleetCommand implements Callable<Integer> {
    private static final int MAX_GATEWAYS = 64;
    private static final int MAX_BROKEN_PRINTED = 5;

    @Parameters(
            index = "0",
            paramLabel = "SCRIPT",
            description = "a script of faults (docs/lab.md)")
    Path script;

    @Option(names = "--gateways", defaultValue = "5", description = "(${DEFAULT-VALUE})")
    int gateways;

    @Option(names = "--jar", required = true, description = "the program: java -jar JAR serve")
    Path jar;

    @Option(
            names = "--java",
            paramLabel = "WORD",
            description =
                    "a word for java, such as -Dtinford.clock.offset_ms=300; may hold {number}")
    List<String> java = new ArrayList<>();

    @Option(
            names = "--operator",
            description =
                    "a template of the operator files; {number}, {gateways}, {disk}, {peer_listen},"
                            + " {peers}, {member_listen} and {members} are filled in")
    Path operator;

    @Option(
            names = "--free-peers",
            description =
                    "the gateway's own peer socket stays shut: the program uses the address"
                            + " otherwise")
    boolean freePeers;

    @Option(names = "--seed", defaultValue = "1", description = "(${DEFAULT-VALUE})")
    long seed;

    @Option(
            names = "--out",
            required = true,
            description = "a folder for configurations, disks, logs and histories")
    Path to;

    @Spec CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (gateways < 1 || gateways > MAX_GATEWAYS) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--gateways from 1 to " + MAX_GATEWAYS);
        }
        FleetScript faults = FleetScript.read(script);
        Scenario scenario = faults.scenario(script, gateways);
        try (FleetBench bench = new FleetBench(faults, scenario, program(), seed, to)) {
            Map<String, Double> figures = bench.run(drawn(scenario));
            List<String> broken = bench.broken();
            print(figures, broken);
            return broken.isEmpty() ? 0 : Lab.RULE_BROKEN;
        }
    }

    private Trace drawn(Scenario scenario) {
        Simulation world = new Simulation(scenario, seed, DecisionEngine::new);
        world.run();
        return world.asked();
    }

    private GatewayProgram program() throws IOException {
        List<String> words = new ArrayList<>(BenchInterceptor.JAVA);
        words.addAll(java);
        words.addAll(List.of("-jar", jar.toString(), "serve"));
        String template = operator == null ? null : Files.readString(operator);
        return new GatewayProgram(
                words, Map.of(), template == null ? null : slot -> slot.fill(template), !freePeers);
    }

    private void print(Map<String, Double> figures, List<String> broken) {
        PrintWriter out = spec.commandLine().getOut();
        figures.forEach((name, value) -> out.printf(Locale.ROOT, "%-18s %12.4f%n", name, value));
        out.println(
                broken.isEmpty()
                        ? "no rule and no promise broken"
                        : broken.size() + " broken; the first:");
        broken.stream().limit(MAX_BROKEN_PRINTED).forEach(each -> out.println("  " + each));
        out.flush();
    }
}
