package tinford.lab.explore;

import java.io.PrintWriter;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code lab explore}. Exit codes: 0 no promise broken, 1 one is, 2 wrong words. */
@Command(
        name = "explore",
        mixinStandardHelpOptions = true,
        description = "Goes through all that can happen to a small plan of moves.")
public final class ExploreCommand implements Callable<Integer> {
    private static final int PROMISE_BROKEN = 1;
    private static final double NANOS_A_SECOND = 1e9;

    @Option(names = "--gateways", defaultValue = "3", description = "2 or 3 (${DEFAULT-VALUE})")
    int gateways;

    @Option(
            names = "--stages",
            defaultValue = "2",
            description = "1 or 2, of the frontend that is needed (${DEFAULT-VALUE})")
    int stages;

    @Option(
            names = "--faults",
            defaultValue = "2",
            description = "gateways killed or cut off, together (${DEFAULT-VALUE})")
    int faults;

    @Option(names = "--halts", defaultValue = "2", description = "by operators (${DEFAULT-VALUE})")
    int halts;

    @Option(names = "--acks-in-flight", description = "acks may be under way for any time")
    boolean acksInFlight;

    @Option(
            names = "--states",
            defaultValue = "20000000",
            description = "ends once so many are found (${DEFAULT-VALUE})")
    int states;

    @Spec CommandSpec spec;

    @Override
    public Integer call() {
        check("--gateways", gateways, 2, 3);
        check("--stages", stages, 1, 2);
        int code = 0;
        for (boolean retriesTold : new boolean[] {false, true}) {
            if (explore(retriesTold).broken() != null) {
                code = PROMISE_BROKEN;
            }
        }
        return code;
    }

    private void check(String option, int value, int least, int most) {
        if (value < least || value > most) {
            throw new ParameterException(
                    spec.commandLine(),
                    option + ": expected " + least + " or " + most + ", not " + value);
        }
    }

    private ExplorationResult explore(boolean retriesTold) {
        PrintWriter out = spec.commandLine().getOut();
        ExplorationSettings settings = new ExplorationSettings();
        settings.retriesTold = retriesTold;
        settings.gateways = gateways;
        settings.stages = stages;
        settings.maxFaults = faults;
        settings.maxHalts = halts;
        settings.acksInFlight = acksInFlight;
        settings.maxStates = states;
        settings.progress =
                (explored, found) -> {
                    out.println(explored + " of " + found);
                    out.flush();
                };
        long start = System.nanoTime();
        ExplorationResult result = new Explorer(settings).run();
        out.printf(
                Locale.ROOT,
                "retries %s, faults %d, halts %d, acks under way %b: %d states, %d edges, %d ends,"
                        + " %.1f s: %s%n",
                retriesTold ? "told" : "untold",
                faults,
                halts,
                acksInFlight,
                result.states(),
                result.edges(),
                result.ends(),
                (System.nanoTime() - start) / NANOS_A_SECOND,
                result.broken() == null
                        ? "no promise broken"
                        : result.broken() + " " + result.story());
        out.flush();
        return result;
    }
}
