package tinford.lab.scale;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import tinford.lab.study.Study;

/**
 * {@code lab scale}. Exit codes: 0 all grow as expected, 1 a counted column grows faster or a
 * measurement failed, 2 wrong words.
 */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Measures costs over the size of the deployment and names their growth.")
public final class ScaleCommand implements Callable<Integer> {
    private static final int FASTER_OR_FAILED = 1;

    @Option(names = "--full", description = "up to the deployment's own size, not CI's sizes")
    boolean full;

    @Option(
            names = "--only",
            paramLabel = "PREFIX",
            defaultValue = "",
            description = "only measurements whose names begin so, such as decisions.")
    String only;

    @Option(names = "--out", paramLabel = "DIR", description = "a folder for CSV files and plots")
    Path out;

    @Option(names = "--seed", defaultValue = "1", description = "(${DEFAULT-VALUE})")
    long seed;

    @Option(names = "--list", description = "only names the measurements")
    boolean list;

    @Spec CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        List<Measurement> chosen =
                Measurements.all().stream().filter(m -> m.name().startsWith(only)).toList();
        if (chosen.isEmpty()) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--only: no measurement begins with " + only);
        }
        PrintWriter printer = spec.commandLine().getOut();
        if (list) {
            chosen.forEach(measurement -> printer.println(measurement.name()));
            return 0;
        }
        ResultFiles files = out == null ? null : new ResultFiles(out);
        ScaleRunner runner = new ScaleRunner(full, seed);
        int exitCode = 0;
        for (Measurement measurement : chosen) {
            if (!play(runner, measurement, files, printer)) {
                exitCode = FASTER_OR_FAILED;
            }
        }
        return exitCode;
    }

    /** A measurement that fails is told, and the others are still played. */
    private boolean play(
            ScaleRunner runner, Measurement measurement, ResultFiles files, PrintWriter printer)
            throws Exception {
        ScaleResult result;
        try {
            result = runner.run(measurement);
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception e) {
            printer.printf("%s: failed: %s%n", measurement.name(), e);
            printer.flush();
            return false;
        }
        print(result, printer);
        if (files != null) {
            files.write(result);
        }
        return result.violations().isEmpty();
    }

    private static void print(ScaleResult result, PrintWriter printer) {
        int last = result.sizes().length - 1;
        List<ScaleResult.Column> violations = result.violations();
        for (ScaleResult.Column column : result.columns()) {
            Study.Mean largest = column.means().get(last);
            printer.printf(
                    Locale.ROOT,
                    "%-52s %7s at %d %s: %.6g [%.6g, %.6g]; exponent %.2f [%.2f, %.2f], %s%s%n",
                    result.name() + " " + column.name(),
                    column.counted() ? "counted" : "timed",
                    result.sizes()[last],
                    result.sizeUnit(),
                    largest.mean(),
                    largest.least(),
                    largest.most(),
                    column.exponent().mean(),
                    column.exponent().least(),
                    column.exponent().most(),
                    column.growth(),
                    violations.contains(column) ? ", FASTER than " + result.expected() : "");
        }
        printer.flush();
    }
}
