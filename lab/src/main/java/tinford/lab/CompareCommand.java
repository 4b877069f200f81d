package tinford.lab;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import tinford.lab.model.RunResult;
import tinford.lab.study.Study;
import tinford.lab.study.Versions;

/** {@code lab compare}: two versions on the same seeds. */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        description = "Two versions on the same seeds: better, worse, or can't tell.")
final class CompareCommand extends StudyCommand {
    @Option(names = "--first", description = "a gateway's jar (this version)")
    Path firstJar;

    @Option(names = "--second", description = "a gateway's jar (this version)")
    Path secondJar;

    @Option(
            names = "--figure",
            defaultValue = "service",
            description = "what is compared; more is better (${DEFAULT-VALUE})")
    String figure;

    @Override
    public Integer call() throws Exception {
        Study study = study();
        List<RunResult> first = study.run(Versions.ofOrHere(firstJar), seed, runs);
        List<RunResult> second = study.run(Versions.ofOrHere(secondJar), seed, runs);
        if (!first.get(0).figures().containsKey(figure)) {
            throw wrong("--figure: expected one of " + first.get(0).figures().keySet());
        }
        print(Study.compare(first, second, figure, level));
        Map<String, List<RunResult>> versions = new LinkedHashMap<>();
        versions.put("first", first);
        versions.put("second", second);
        writeFiles(versions);
        List<RunResult> both = new ArrayList<>(first);
        both.addAll(second);
        return exitCode(both);
    }

    private void print(Study.Comparison comparison) {
        print("first   %.4f  [%.4f, %.4f]%n", comparison.first());
        print("second  %.4f  [%.4f, %.4f]%n", comparison.second());
        print("second - first  %+.4f  [%+.4f, %+.4f]%n", comparison.difference());
        out().println(
                        switch (comparison.verdict()) {
                            case BETTER -> "the second is better";
                            case WORSE -> "the second is worse";
                            case CANT_TELL -> "can't tell";
                        });
    }

    private void print(String format, Study.Mean mean) {
        out().printf(Locale.ROOT, format, mean.mean(), mean.least(), mean.most());
    }
}
