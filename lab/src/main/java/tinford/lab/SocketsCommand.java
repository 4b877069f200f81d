package tinford.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import tinford.api.DecisionModule;
import tinford.lab.model.RunResult;
import tinford.lab.model.Simulation;
import tinford.lab.scenario.Scenario;
import tinford.lab.scenario.Trace;
import tinford.lab.sockets.SocketBench;
import tinford.lab.study.Study;
import tinford.lab.study.Versions;

/** {@code lab sockets}: real gateways beside the model. */
@Command(
        name = "sockets",
        mixinStandardHelpOptions = true,
        description =
                "One seed on loopback sockets, against real gateways, beside the model on the same"
                        + " traffic.")
final class SocketsCommand extends StudyCommand {
    private static final int MAX_BROKEN_PRINTED = 5;

    @Option(names = "--jar", required = true, description = "the gateway's jar")
    Path jar;

    @Option(
            names = "--logs",
            description = "a folder for the gateways' configurations and logs (a new one)")
    Path logs;

    /** What came of the real gateways. */
    private record Played(Map<String, Double> figures, List<String> broken) {}

    @Override
    public Integer call() throws Exception {
        study(); // says what is wrong
        DecisionModule.Factory maker = Versions.of(jar);
        Scenario played = Scenario.read(scenario, set);
        Trace traffic = recorded(played);
        if (traffic == null) {
            traffic = drawn(played, maker);
        }
        List<RunResult> model = model(traffic, maker);
        Played real = real(played, traffic);
        print(real.figures(), Study.means(model, level));
        real.broken().stream()
                .limit(MAX_BROKEN_PRINTED)
                .forEach(broken -> out().println("  " + broken));
        return real.broken().isEmpty() ? exitCode(model) : Lab.RULE_BROKEN;
    }

    private Trace drawn(Scenario played, DecisionModule.Factory maker) {
        Simulation world = new Simulation(played, seed, maker);
        world.run();
        return world.asked();
    }

    /** As the stand-ins on sockets have it: a client asks once and stays. */
    private List<RunResult> model(Trace traffic, DecisionModule.Factory maker) throws Exception {
        Map<String, String> once = new LinkedHashMap<>(set);
        once.put("clients.retries", "0");
        once.put("clients.leave", "0");
        Study study = new Study(Scenario.read(scenario, once), threads, traffic);
        return study.run(maker, seed, runs);
    }

    private Played real(Scenario played, Trace traffic) throws IOException, InterruptedException {
        try (SocketBench bench = new SocketBench(played, seed, jar, folder())) {
            Map<String, Double> figures = bench.run(traffic);
            return new Played(figures, bench.broken());
        }
    }

    private Path folder() throws IOException {
        return logs == null ? Files.createTempDirectory("lab") : Files.createDirectories(logs);
    }

    private void print(Map<String, Double> real, Map<String, Study.Mean> model) {
        out().printf("%-14s %12s  %s%n", "", "sockets", "model, " + runs + " runs");
        real.forEach((figure, value) -> print(figure, value, model.get(figure)));
    }

    private void print(String figure, double value, Study.Mean mean) {
        out().printf(
                        Locale.ROOT,
                        "%-14s %12.4f  %.4f  [%.4f, %.4f]%n",
                        figure,
                        value,
                        mean.mean(),
                        mean.least(),
                        mean.most());
    }
}
