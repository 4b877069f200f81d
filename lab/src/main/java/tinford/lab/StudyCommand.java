package tinford.lab;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tinford.lab.model.RunResult;
import tinford.lab.scenario.Scenario;
import tinford.lab.scenario.Trace;
import tinford.lab.study.Study;

/** A command that plays one scenario: the options that all of them share, and how they print. */
abstract class StudyCommand implements Callable<Integer> {
    private static final double MAX_RATE = 1e6;
    private static final int MAX_RULES_PRINTED = 5;

    @Parameters(index = "0", paramLabel = "SCENARIO", description = "a scenario file (docs/lab.md)")
    Path scenario;

    @Option(names = "--runs", defaultValue = "10", description = "seeds to try (${DEFAULT-VALUE})")
    int runs;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "the first of them (${DEFAULT-VALUE})")
    long seed;

    @Option(names = "--threads", description = "runs at a time (all cores)")
    int threads = Runtime.getRuntime().availableProcessors();

    @Option(
            names = "--level",
            defaultValue = "0.95",
            description = "of the intervals (${DEFAULT-VALUE})")
    double level;

    @Option(names = "--csv", description = "a file for one line a run")
    Path csv;

    @Option(names = "--json", description = "a file for the same with the means")
    Path json;

    @Option(
            names = "--set",
            paramLabel = "KEY=VALUE",
            description = "a value in place of the scenario's, such as servers.count=12")
    Map<String, String> set = new LinkedHashMap<>();

    @Option(
            names = "--trace",
            description = "recorded traffic to replay in place of drawn requests")
    Path trace;

    @Option(
            names = "--rate",
            defaultValue = "1",
            description = "replays it so many times as quick (${DEFAULT-VALUE})")
    double rate;

    @Spec CommandSpec spec;

    Study study() throws Scenario.Bad {
        return study(set);
    }

    Study study(Map<String, String> changes) throws Scenario.Bad {
        if (runs < 1 || threads < 1 || !(level > 0 && level < 1)) {
            throw wrong("--runs and --threads from 1, --level between 0 and 1");
        }
        if (!(rate > 0 && rate < MAX_RATE)) {
            throw wrong("--rate above 0");
        }
        Scenario played = Scenario.read(scenario, changes);
        return new Study(played, threads, recorded(played));
    }

    /** The traffic to replay; null where requests are drawn. */
    Trace recorded(Scenario played) throws Scenario.Bad {
        return trace == null ? null : Trace.read(trace, played).atRate(rate);
    }

    CommandLine.ParameterException wrong(String what) {
        return new CommandLine.ParameterException(spec.commandLine(), what);
    }

    PrintWriter out() {
        return spec.commandLine().getOut();
    }

    void print(Map<String, Study.Mean> means) {
        means.forEach(
                (figure, mean) ->
                        out().printf(
                                        Locale.ROOT,
                                        "%-14s %12.4f  [%.4f, %.4f]%n",
                                        figure,
                                        mean.mean(),
                                        mean.least(),
                                        mean.most()));
    }

    /** The files that the options ask for. */
    void writeFiles(Map<String, List<RunResult>> versions) throws IOException {
        if (csv != null) {
            StudyFiles.writeCsv(csv, versions);
        }
        if (json != null) {
            StudyFiles.writeJson(json, versions, level);
        }
    }

    /** The exit code by the rules; prints those that were broken. */
    int exitCode(List<RunResult> all) {
        long broken = all.stream().mapToLong(RunResult::brokenCount).sum();
        if (broken == 0) {
            return 0;
        }
        out().println("rules broken " + broken + " times; the first of each run:");
        all.stream()
                .filter(outcome -> !outcome.broken().isEmpty())
                .limit(MAX_RULES_PRINTED)
                .forEach(o -> out().println("  seed " + o.seed + ": " + o.broken().get(0)));
        return Lab.RULE_BROKEN;
    }
}
