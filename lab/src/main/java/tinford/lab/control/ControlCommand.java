package tinford.lab.control;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code lab control}: scenarios with control servers and their followers. */
@Command(
        name = "control",
        mixinStandardHelpOptions = true,
        description =
                "Control servers and their followers as processes on loopback, under drawn changes"
                        + " and faults; judged by their histories.")
public final class ControlCommand implements Callable<Integer> {
    private static final int BROKEN = 1;
    private static final int MAX_BROKEN_PRINTED = 5;

    /** For the start of all processes, the first configuration, settling and judging. */
    private static final double SETUP_SECONDS = 240;

    @Option(
            names = "--scenario",
            defaultValue = "all",
            split = ",",
            description = "calm, burst, server-killed, ... or all (${DEFAULT-VALUE})")
    List<String> names;

    @Option(
            names = "--followers",
            defaultValue = "530",
            description = "real gateways and hollow followers together (${DEFAULT-VALUE})")
    int followers;

    @Option(
            names = "--gateways",
            defaultValue = "6",
            description = "how many of them are real gateways under load (${DEFAULT-VALUE})")
    int gateways;

    @Option(names = "--voters", defaultValue = "5", description = "(${DEFAULT-VALUE})")
    int voters;

    @Option(names = "--replicas", defaultValue = "3", description = "(${DEFAULT-VALUE})")
    int replicas;

    @Option(
            names = "--pace",
            defaultValue = "6.171",
            description = "seconds from one drawn change to the next (${DEFAULT-VALUE})")
    double pace;

    @Option(
            names = "--length",
            defaultValue = "1",
            description = "scenarios last so many times as long (${DEFAULT-VALUE})")
    double length;

    @Option(names = "--seed", defaultValue = "1", description = "(${DEFAULT-VALUE})")
    long seed;

    @Option(
            names = "--jar",
            required = true,
            description = "the fleet's jar, with the control server and the gateway")
    Path jar;

    @Option(names = "--out", required = true, description = "a folder for the CSV files")
    Path to;

    @Option(
            names = "--logs",
            description = "a folder for histories, logs and disks (a new temporary one)")
    Path logs;

    @Spec CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        List<ControlScenario> scenarios = scenarios();
        ControlOptions options = options();
        Path folder =
                logs == null
                        ? Files.createTempDirectory("lab-control")
                        : Files.createDirectories(logs);
        Files.createDirectories(to);
        boolean good = true;
        for (ControlScenario each : scenarios) {
            ControlResult result = play(each, options, folder.resolve(each.label()));
            tell(result);
            good &= result.good();
        }
        return good ? 0 : BROKEN;
    }

    private List<ControlScenario> scenarios() {
        List<ControlScenario> chosen = new ArrayList<>();
        for (String name : names) {
            List<ControlScenario> named =
                    Stream.of(ControlScenario.values())
                            .filter(each -> name.equals("all") || name.equals(each.label()))
                            .toList();
            if (named.isEmpty()) {
                throw wrong("--scenario: expected all or a scenario's name, not " + name);
            }
            chosen.addAll(named);
        }
        return chosen;
    }

    private ControlOptions options() {
        if (!(pace > 0) || !(length > 0)) {
            throw wrong("--pace and --length above 0");
        }
        ControlSize full = ControlSize.FULL;
        try {
            ControlSize size =
                    new ControlSize(
                            voters,
                            replicas,
                            gateways,
                            followers - gateways,
                            full.hollowProcesses(),
                            full.services(),
                            full.routes(),
                            full.tenants());
            return new ControlOptions(size, new Classpath(jar.toString()), seed, pace, length);
        } catch (IllegalArgumentException e) {
            throw wrong(e.getMessage());
        }
    }

    private CommandLine.ParameterException wrong(String what) {
        return new CommandLine.ParameterException(spec.commandLine(), what);
    }

    private ControlResult play(ControlScenario each, ControlOptions options, Path folder)
            throws Exception {
        double most = each.seconds() * options.lengthFactor() + SETUP_SECONDS;
        Watchdog watchdog = new Watchdog(each.label(), most);
        try (ControlRun run = new ControlRun(each, options, folder)) {
            ControlResult result = run.play();
            ControlReport.summary(to, result);
            ControlReport.inForce(to, run);
            ControlReport.resources(to, run);
            ControlReport.links(to, run);
            return result;
        } finally {
            watchdog.stop();
        }
    }

    private void tell(ControlResult result) {
        PrintWriter out = spec.commandLine().getOut();
        out.println(result.summary());
        result.broken().stream()
                .limit(MAX_BROKEN_PRINTED)
                .forEach(b -> out.println("  broken: " + b));
        result.missed().forEach(missed -> out.println("  missed: " + missed));
        out.flush();
    }
}
