package tinford.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import tinford.api.DecisionModule;
import tinford.lab.model.RunResult;
import tinford.lab.scenario.Scenario;
import tinford.lab.study.Plot;
import tinford.lab.study.Study;
import tinford.lab.study.Versions;

/** {@code lab sweep}: a figure over values of one key. */
@Command(
        name = "sweep",
        mixinStandardHelpOptions = true,
        description =
                "A figure over values of one key, for one version or two, as a table and a plot.")
final class SweepCommand extends StudyCommand {
    @Option(
            names = "--key",
            required = true,
            description = "such as counter.takes or plans.small.rate")
    String key;

    @Option(
            names = "--values",
            required = true,
            split = ",",
            description = "numbers, in the order of the plot")
    List<String> values;

    @Option(
            names = "--figure",
            defaultValue = "service",
            description = "what is plotted (${DEFAULT-VALUE})")
    String figure;

    @Option(names = "--jar", description = "a gateway's jar; once for each version (this one)")
    List<Path> jars = new ArrayList<>();

    @Option(names = "--plot", description = "a PNG file")
    Path plot;

    private final Map<String, List<Plot.Point>> lines = new LinkedHashMap<>();
    private final Map<String, List<RunResult>> outcomes = new LinkedHashMap<>();

    @Override
    public Integer call() throws Exception {
        Map<String, DecisionModule.Factory> makers = makers();
        Map<String, Study> studies = studies();
        for (Map.Entry<String, DecisionModule.Factory> maker : makers.entrySet()) {
            for (Map.Entry<String, Study> study : studies.entrySet()) {
                play(maker.getKey(), maker.getValue(), study.getKey(), study.getValue());
            }
        }
        writeFiles(outcomes);
        writePlot();
        return exitCode(outcomes.values().stream().flatMap(List::stream).toList());
    }

    private Map<String, DecisionModule.Factory> makers() throws Versions.Bad {
        Map<String, DecisionModule.Factory> makers = new LinkedHashMap<>();
        for (Path jar : jars) {
            makers.put(jar.getFileName().toString(), Versions.of(jar));
        }
        if (makers.isEmpty()) {
            makers.put("this", Versions.here());
        }
        return makers;
    }

    /** By value of the key; all are checked before the first is played. */
    private Map<String, Study> studies() throws Scenario.Bad {
        Map<String, Study> studies = new LinkedHashMap<>();
        for (String value : values) {
            Map<String, String> changes = new LinkedHashMap<>(set);
            changes.put(key, value);
            studies.put(value, study(changes));
        }
        return studies;
    }

    private void play(String version, DecisionModule.Factory maker, String value, Study study)
            throws Exception {
        List<RunResult> played = study.run(maker, seed, runs);
        Study.Mean mean = Study.means(played, level).get(figure);
        if (mean == null) {
            throw wrong("--figure: expected one of " + played.get(0).figures().keySet());
        }
        out().printf(
                        Locale.ROOT,
                        "%-16s %s=%-10s %s %.4f  [%.4f, %.4f]%n",
                        version,
                        key,
                        value,
                        figure,
                        mean.mean(),
                        mean.least(),
                        mean.most());
        Plot.Point point = new Plot.Point(Double.parseDouble(value), mean);
        lines.computeIfAbsent(version, any -> new ArrayList<>()).add(point);
        outcomes.put(version + " " + key + "=" + value, played);
    }

    private void writePlot() throws IOException {
        if (plot != null) {
            String title = scenario.getFileName() + ", " + runs + " runs each";
            Plot.write(plot, title, key, figure, lines);
        }
    }
}
