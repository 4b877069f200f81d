package tinford.lab;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import tinford.api.DecisionModule;
import tinford.lab.model.RunResult;
import tinford.lab.study.Study;
import tinford.lab.study.Versions;

/** {@code lab run}: one scenario over seeds. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Runs a scenario over seeds: each figure with its interval.")
final class RunCommand extends StudyCommand {
    private static final double NANOS_PER_SECOND = 1e9;

    @Option(names = "--jar", description = "the gateway's jar of another version (this one)")
    Path jar;

    @Override
    public Integer call() throws Exception {
        Study study = study();
        DecisionModule.Factory maker = Versions.ofOrHere(jar);
        long from = System.nanoTime();
        List<RunResult> all = study.run(maker, seed, runs);
        double seconds = (System.nanoTime() - from) / NANOS_PER_SECOND;
        print(Study.means(all, level));
        long events = all.stream().mapToLong(RunResult::events).sum();
        out().printf(
                        Locale.ROOT,
                        "%d runs, %d events, %.1f s, %.0f events a second%n",
                        runs,
                        events,
                        seconds,
                        events / seconds);
        writeFiles(Map.of("this", all));
        return exitCode(all);
    }
}
