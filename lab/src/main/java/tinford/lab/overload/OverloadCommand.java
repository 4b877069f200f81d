package tinford.lab.overload;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code lab overload}. Exit codes: 0 done, 2 wrong words. */
@Command(
        name = "overload",
        mixinStandardHelpOptions = true,
        description =
                "Simulates the loss of half of the servers, with gateways that shed load alone or"
                        + " by the fleet's view.")
public final class OverloadCommand implements Callable<Integer> {
    private static final long FIRST_SEED = 100;
    private static final int MAX_GATEWAYS = 1000;

    @Option(names = "--seeds", defaultValue = "5", description = "how many (${DEFAULT-VALUE})")
    int seeds;

    @Option(
            names = "--gateways",
            defaultValue = "5,14,100,400",
            split = ",",
            description = "numbers of gateways (${DEFAULT-VALUE})")
    List<Integer> sizes;

    @Option(
            names = "--window",
            defaultValue = "4000",
            description = "over which the fleet's view looks back, ms (${DEFAULT-VALUE})")
    double windowMs;

    @Spec CommandSpec spec;

    /** A figure of a result, with its decimals in print. */
    private record Column(String title, ToDoubleFunction<OverloadResult> figure, int decimals) {}

    private static final List<Column> COLUMNS =
            List.of(
                    new Column("worth while strained", OverloadResult::worth, 3),
                    new Column("all-seeing", OverloadResult::best, 3),
                    new Column("dispatches a request", OverloadResult::dispatches, 3),
                    new Column("tries a second at a lost server", OverloadResult::triesAtLost, 2),
                    new Column("deviation", OverloadResult::deviation, 3),
                    new Column("recovery, ms", OverloadResult::recoveryMs, 0),
                    new Column("worth, whole", OverloadResult::wholeWorth, 3));

    @Override
    public Integer call() {
        if (seeds < 1 || !sizes.stream().allMatch(n -> n >= 1 && n <= MAX_GATEWAYS)) {
            throw new ParameterException(
                    spec.commandLine(), "--seeds from 1, --gateways from 1 to " + MAX_GATEWAYS);
        }
        if (!(windowMs > 0)) {
            throw new ParameterException(spec.commandLine(), "--window above 0");
        }
        PrintWriter out = spec.commandLine().getOut();
        out.println(row("gateways", "mode", titles()));
        out.println("| --- ".repeat(2 + COLUMNS.size()) + "|");
        for (int gateways : sizes) {
            for (OverloadSimulation.Mode mode : OverloadSimulation.Mode.values()) {
                out.println(
                        row(
                                Integer.toString(gateways),
                                mode.name().toLowerCase(Locale.ROOT),
                                figures(gateways, mode)));
                out.flush();
            }
        }
        return 0;
    }

    private static List<String> titles() {
        return COLUMNS.stream().map(Column::title).toList();
    }

    private List<String> figures(int gateways, OverloadSimulation.Mode mode) {
        List<OverloadResult> results = new ArrayList<>();
        for (int i = 0; i < seeds; i++) {
            results.add(new OverloadSimulation(FIRST_SEED + i, gateways, mode, windowMs).run());
        }
        return COLUMNS.stream().map(column -> meanAndInterval(results, column)).toList();
    }

    private static String row(String first, String second, List<String> others) {
        String rest = others.stream().collect(Collectors.joining(" | "));
        return "| " + first + " | " + second + " | " + rest + " |";
    }

    /** The mean over the seeds, and half of a 95 % interval. */
    private static String meanAndInterval(List<OverloadResult> results, Column column) {
        double count = results.size();
        double mean = results.stream().mapToDouble(column.figure()).average().orElse(0);
        double squares =
                results.stream()
                        .mapToDouble(column.figure())
                        .map(value -> (value - mean) * (value - mean))
                        .sum();
        double half = 2 * Math.sqrt(squares / Math.max(1, count - 1) / count);
        String format = "%." + column.decimals() + "f";
        return String.format(Locale.ROOT, format + " ± " + format, mean, half);
    }
}
