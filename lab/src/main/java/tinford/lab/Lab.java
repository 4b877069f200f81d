package tinford.lab;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
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
import tinford.Decide;
import tinford.api.Gateway;
import tinford.lab.control.ControlCommand;
import tinford.lab.explore.ExploreCommand;
import tinford.lab.fleet.FleetBench;
import tinford.lab.fleet.FleetScript;
import tinford.lab.fleet.Program;
import tinford.lab.model.Outcome;
import tinford.lab.model.World;
import tinford.lab.scale.ScaleCommand;
import tinford.lab.scenario.Scenario;
import tinford.lab.scenario.Trace;
import tinford.lab.sockets.Bench;
import tinford.lab.sockets.Between;
import tinford.lab.study.Plot;
import tinford.lab.study.Study;
import tinford.lab.study.Versions;

/**
 * The laboratory's command line. Exit codes: 0 done, 1 a rule was broken, 2 wrong words, 3 bad
 * input.
 */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        version = "tinford lab 0.1",
        description = "Tries the decisions of tinford in a model of clients, servers and counter.",
        subcommands = {
            Lab.Run.class,
            Lab.Compare.class,
            Lab.Sweep.class,
            Lab.Record.class,
            Lab.Sockets.class,
            Lab.Fleet.class,
            ScaleCommand.class,
            ControlCommand.class,
            ExploreCommand.class
        })
public final class Lab {
    static final int RULE_BROKEN = 1;
    static final int BAD_INPUT = 3;

    public static void main(String[] args) {
        System.exit(line().execute(args));
    }

    static CommandLine line() {
        CommandLine line = new CommandLine(new Lab());
        line.setExecutionExceptionHandler(
                (e, l, parsed) -> {
                    if (e instanceof Scenario.Bad
                            || e instanceof Versions.Bad
                            || e instanceof IOException) {
                        l.getErr().println("lab: " + e.getMessage());
                        return BAD_INPUT;
                    }
                    throw e;
                });
        return line;
    }

    /** What every study is told. */
    abstract static class Tries implements Callable<Integer> {
        @Parameters(
                index = "0",
                paramLabel = "SCENARIO",
                description = "a scenario file (docs/lab.md)")
        Path scenario;

        @Option(
                names = "--runs",
                defaultValue = "10",
                description = "seeds to try (${DEFAULT-VALUE})")
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
                description = "recorded traffic to replay in place of drawn reqs")
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
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "--runs and --threads from 1, --level between 0 and 1");
            }
            if (!(rate > 0 && rate < 1e6)) {
                throw new CommandLine.ParameterException(spec.commandLine(), "--rate above 0");
            }
            Scenario s = Scenario.read(scenario, changes);
            return new Study(s, threads, trace == null ? null : Trace.read(trace, s).atRate(rate));
        }

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        void tell(Map<String, Study.Mean> means) {
            means.forEach(
                    (f, m) ->
                            out().printf(
                                            Locale.ROOT,
                                            "%-14s %12.4f  [%.4f, %.4f]%n",
                                            f,
                                            m.mean(),
                                            m.least(),
                                            m.most()));
        }

        /** Written beside and moved, so that what stands there is whole. */
        static void write(Path to, String text) throws IOException {
            Path part = to.resolveSibling(to.getFileName() + ".part");
            Files.writeString(part, text);
            Files.move(part, to, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        void files(Map<String, List<Outcome>> versions) throws IOException {
            if (csv != null) {
                StringBuilder s = new StringBuilder();
                for (Map.Entry<String, List<Outcome>> v : versions.entrySet()) {
                    for (Outcome o : v.getValue()) {
                        if (s.isEmpty()) {
                            s.append("version,seed,")
                                    .append(String.join(",", o.figures().keySet()))
                                    .append('\n');
                        }
                        s.append(v.getKey()).append(',').append(o.seed);
                        o.figures().values().forEach(x -> s.append(',').append(x));
                        s.append('\n');
                    }
                }
                write(csv, s.toString());
            }
            if (json != null) {
                Map<String, Object> all = new LinkedHashMap<>();
                for (Map.Entry<String, List<Outcome>> v : versions.entrySet()) {
                    List<Object> each = new ArrayList<>();
                    v.getValue()
                            .forEach(
                                    o ->
                                            each.add(
                                                    Map.of(
                                                            "seed",
                                                            o.seed,
                                                            "figures",
                                                            o.figures(),
                                                            "broken",
                                                            o.broken())));
                    all.put(
                            v.getKey(),
                            Map.of("means", Study.means(v.getValue(), level), "runs", each));
                }
                write(
                        json,
                        new ObjectMapper()
                                .enable(SerializationFeature.INDENT_OUTPUT)
                                .writeValueAsString(all));
            }
        }

        int rules(List<Outcome> all) {
            long broken = all.stream().mapToLong(Outcome::brokenCount).sum();
            if (broken == 0) {
                return 0;
            }
            out().println("rules broken " + broken + " times; the first of each run:");
            all.stream()
                    .filter(o -> !o.broken().isEmpty())
                    .limit(5)
                    .forEach(o -> out().println("  seed " + o.seed + ": " + o.broken().get(0)));
            return RULE_BROKEN;
        }
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Runs a scenario over seeds: each figure with its interval.")
    static final class Run extends Tries {
        @Option(names = "--jar", description = "the gateway's jar of another version (this one)")
        Path jar;

        @Override
        public Integer call() throws Exception {
            Study study = study();
            Gateway.Maker maker = jar == null ? Versions.here() : Versions.of(jar);
            long from = System.nanoTime();
            List<Outcome> all = study.run(maker, seed, runs);
            double took = (System.nanoTime() - from) / 1e9;
            tell(Study.means(all, level));
            long events = all.stream().mapToLong(Outcome::events).sum();
            out().printf(
                            Locale.ROOT,
                            "%d runs, %d events, %.1f s, %.0f events a second%n",
                            runs,
                            events,
                            took,
                            events / took);
            files(Map.of("this", all));
            return rules(all);
        }
    }

    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description = "Two versions on the same seeds: better, worse, or can't tell.")
    static final class Compare extends Tries {
        @Option(names = "--first", description = "a gateway's jar (this version)")
        Path first;

        @Option(names = "--second", description = "a gateway's jar (this version)")
        Path second;

        @Option(
                names = "--figure",
                defaultValue = "service",
                description = "what is compared; more is better (${DEFAULT-VALUE})")
        String figure;

        @Override
        public Integer call() throws Exception {
            Study study = study();
            List<Outcome> a =
                    study.run(first == null ? Versions.here() : Versions.of(first), seed, runs);
            List<Outcome> b =
                    study.run(second == null ? Versions.here() : Versions.of(second), seed, runs);
            if (!a.get(0).figures().containsKey(figure)) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(),
                        "--figure: expected one of " + a.get(0).figures().keySet());
            }
            Study.Comparison c = Study.compare(a, b, figure, level);
            out().printf(
                            Locale.ROOT,
                            "first   %.4f  [%.4f, %.4f]%nsecond  %.4f  [%.4f, %.4f]%nsecond - first"
                                    + "  %+.4f  [%+.4f, %+.4f]%n",
                            c.first().mean(),
                            c.first().least(),
                            c.first().most(),
                            c.second().mean(),
                            c.second().least(),
                            c.second().most(),
                            c.difference().mean(),
                            c.difference().least(),
                            c.difference().most());
            out().println(
                            switch (c.verdict()) {
                                case BETTER -> "the second is better";
                                case WORSE -> "the second is worse";
                                case CANT_TELL -> "can't tell";
                            });
            Map<String, List<Outcome>> versions = new LinkedHashMap<>();
            versions.put("first", a);
            versions.put("second", b);
            files(versions);
            List<Outcome> both = new ArrayList<>(a);
            both.addAll(b);
            return rules(both);
        }
    }

    @Command(
            name = "sweep",
            mixinStandardHelpOptions = true,
            description =
                    "A figure over values of one key, for one version or two, as a table and a"
                            + " plot.")
    static final class Sweep extends Tries {
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

        @Override
        public Integer call() throws Exception {
            Map<String, Gateway.Maker> makers = new LinkedHashMap<>();
            for (Path p : jars) {
                makers.put(p.getFileName().toString(), Versions.of(p));
            }
            if (makers.isEmpty()) {
                makers.put("this", Versions.here());
            }
            Map<String, Study> studies =
                    new LinkedHashMap<>(); // all are checked before the first runs
            for (String v : values) {
                Map<String, String> changes = new LinkedHashMap<>(set);
                changes.put(key, v);
                studies.put(v, study(changes));
            }
            Map<String, List<Plot.Point>> lines = new LinkedHashMap<>();
            Map<String, List<Outcome>> all = new LinkedHashMap<>();
            List<Outcome> every = new ArrayList<>();
            for (Map.Entry<String, Gateway.Maker> m : makers.entrySet()) {
                List<Plot.Point> line = new ArrayList<>();
                for (Map.Entry<String, Study> s : studies.entrySet()) {
                    List<Outcome> done = s.getValue().run(m.getValue(), seed, runs);
                    Study.Mean mean = Study.means(done, level).get(figure);
                    if (mean == null) {
                        throw new CommandLine.ParameterException(
                                spec.commandLine(),
                                "--figure: expected one of " + done.get(0).figures().keySet());
                    }
                    out().printf(
                                    Locale.ROOT,
                                    "%-16s %s=%-10s %s %.4f  [%.4f, %.4f]%n",
                                    m.getKey(),
                                    key,
                                    s.getKey(),
                                    figure,
                                    mean.mean(),
                                    mean.least(),
                                    mean.most());
                    line.add(new Plot.Point(Double.parseDouble(s.getKey()), mean));
                    all.put(m.getKey() + " " + key + "=" + s.getKey(), done);
                    every.addAll(done);
                }
                lines.put(m.getKey(), line);
            }
            files(all);
            if (plot != null) {
                Plot.write(
                        plot,
                        scenario.getFileName() + ", " + runs + " runs each",
                        key,
                        figure,
                        lines);
            }
            return rules(every);
        }
    }

    @Command(
            name = "record",
            mixinStandardHelpOptions = true,
            description = "Writes what one seed of a scenario asks for, as a trace.")
    static final class Record extends Tries {
        @Option(names = "--out", required = true, description = "the trace file")
        Path to;

        @Override
        public Integer call() throws Exception {
            study(); // says what is wrong
            World w = new World(Scenario.read(scenario, set), seed, Versions.here());
            w.run();
            w.asked().write(to);
            out().println(w.asked().asks().size() + " reqs");
            return 0;
        }
    }

    @Command(
            name = "sockets",
            mixinStandardHelpOptions = true,
            description =
                    "One seed on loopback sockets, against real gateways, beside the model on the"
                            + " same traffic.")
    static final class Sockets extends Tries {
        @Option(names = "--jar", required = true, description = "the gateway's jar")
        Path jar;

        @Option(
                names = "--logs",
                description = "a folder for the gateways' configurations and logs (a new one)")
        Path logs;

        @Override
        public Integer call() throws Exception {
            study(); // says what is wrong
            Gateway.Maker maker = Versions.of(jar);
            Scenario s = Scenario.read(scenario, set);
            Trace played = trace == null ? null : Trace.read(trace, s).atRate(rate);
            if (played == null) {
                World drawn = new World(s, seed, maker);
                drawn.run();
                played = drawn.asked();
            }
            // as the stand-ins have it: a client asks once and stays
            Map<String, String> once = new LinkedHashMap<>(set);
            once.put("clients.retries", "0");
            once.put("clients.leave", "0");
            List<Outcome> model =
                    new Study(Scenario.read(scenario, once), threads, played)
                            .run(maker, seed, runs);
            Map<String, Double> real;
            List<String> broken;
            try (Bench bench =
                    new Bench(
                            s,
                            seed,
                            jar,
                            logs == null
                                    ? Files.createTempDirectory("lab")
                                    : Files.createDirectories(logs))) {
                real = bench.run(played);
                broken = bench.broken();
            }
            Map<String, Study.Mean> means = Study.means(model, level);
            out().printf("%-14s %12s  %s%n", "", "sockets", "model, " + runs + " runs");
            real.forEach(
                    (f, v) ->
                            out().printf(
                                            Locale.ROOT,
                                            "%-14s %12.4f  %.4f  [%.4f, %.4f]%n",
                                            f,
                                            v,
                                            means.get(f).mean(),
                                            means.get(f).least(),
                                            means.get(f).most()));
            broken.stream().limit(5).forEach(b -> out().println("  " + b));
            return broken.isEmpty() ? rules(model) : RULE_BROKEN;
        }
    }

    @Command(
            name = "fleet",
            mixinStandardHelpOptions = true,
            description =
                    "Real gateways on loopback under a script of faults, with links between all;"
                            + " judged by their histories.")
    static final class Fleet implements Callable<Integer> {
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
                        "a template of the operator files; {number}, {gateways}, {disk},"
                            + " {peer_listen}, {peers}, {member_listen} and {members} are filled"
                            + " in")
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
            if (gateways < 1 || gateways > 64) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "--gateways from 1 to 64");
            }
            FleetScript read = FleetScript.read(script);
            Scenario s = read.scenario(script, gateways);
            World drawn = new World(s, seed, Decide::new);
            drawn.run();
            List<String> words = new ArrayList<>(Between.JAVA);
            words.addAll(java);
            words.addAll(List.of("-jar", jar.toString(), "serve"));
            String template = operator == null ? null : Files.readString(operator);
            Program program =
                    new Program(
                            words,
                            Map.of(),
                            template == null ? null : seat -> seat.fill(template),
                            !freePeers);
            try (FleetBench bench = new FleetBench(read, s, program, seed, to)) {
                PrintWriter out = spec.commandLine().getOut();
                bench.run(drawn.asked())
                        .forEach((f, v) -> out.printf(Locale.ROOT, "%-18s %12.4f%n", f, v));
                List<String> broken = bench.broken();
                out.println(
                        broken.isEmpty()
                                ? "no rule and no promise broken"
                                : broken.size() + " broken; the first:");
                broken.stream().limit(5).forEach(b -> out.println("  " + b));
                out.flush();
                return broken.isEmpty() ? 0 : RULE_BROKEN;
            }
        }
    }
}
