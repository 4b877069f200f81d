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
import tinford.api.Gateway;
import tinford.lab.model.Outcome;
import tinford.lab.scenario.Scenario;
import tinford.lab.study.Study;
import tinford.lab.study.Versions;

/** The laboratory's command line. Exit codes: 0 done, 1 a rule was broken, 2 wrong words, 3 bad input. */
@Command(name = "lab", mixinStandardHelpOptions = true, version = "tinford lab 0.1",
        description = "Tries the decisions of tinford in a model of clients, servers and counter.",
        subcommands = {Lab.Run.class, Lab.Compare.class})
public final class Lab {
    static final int RULE_BROKEN = 1;
    static final int BAD_INPUT = 3;

    public static void main(String[] args) {
        System.exit(line().execute(args));
    }

    static CommandLine line() {
        CommandLine line = new CommandLine(new Lab());
        line.setExecutionExceptionHandler((e, l, parsed) -> {
            if (e instanceof Scenario.Bad || e instanceof Versions.Bad || e instanceof IOException) {
                l.getErr().println("lab: " + e.getMessage());
                return BAD_INPUT;
            }
            throw e;
        });
        return line;
    }

    /** What every study is told. */
    abstract static class Tries implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "SCENARIO", description = "a scenario file (docs/lab.md)")
        Path scenario;

        @Option(names = "--runs", defaultValue = "10", description = "seeds to try (${DEFAULT-VALUE})")
        int runs;

        @Option(names = "--seed", defaultValue = "1", description = "the first of them (${DEFAULT-VALUE})")
        long seed;

        @Option(names = "--threads", description = "runs at a time (all cores)")
        int threads = Runtime.getRuntime().availableProcessors();

        @Option(names = "--level", defaultValue = "0.95", description = "of the intervals (${DEFAULT-VALUE})")
        double level;

        @Option(names = "--csv", description = "a file for one line a run")
        Path csv;

        @Option(names = "--json", description = "a file for the same with the means")
        Path json;

        @Spec
        CommandSpec spec;

        Study study() throws Scenario.Bad {
            if (runs < 1 || threads < 1 || !(level > 0 && level < 1)) {
                throw new CommandLine.ParameterException(spec.commandLine(), "--runs and --threads from 1, --level between 0 and 1");
            }
            return new Study(Scenario.read(scenario), threads);
        }

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        void tell(Map<String, Study.Mean> means) {
            means.forEach((f, m) -> out().printf(Locale.ROOT, "%-14s %12.4f  [%.4f, %.4f]%n", f, m.mean(), m.least(), m.most()));
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
                            s.append("version,seed,").append(String.join(",", o.figures().keySet())).append('\n');
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
                    v.getValue().forEach(o -> each.add(Map.of("seed", o.seed, "figures", o.figures(), "broken", o.broken())));
                    all.put(v.getKey(), Map.of("means", Study.means(v.getValue(), level), "runs", each));
                }
                write(json, new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(all));
            }
        }

        int rules(List<Outcome> all) {
            long broken = all.stream().mapToLong(Outcome::brokenCount).sum();
            if (broken == 0) {
                return 0;
            }
            out().println("rules broken " + broken + " times; the first of each run:");
            all.stream().filter(o -> !o.broken().isEmpty()).limit(5)
                    .forEach(o -> out().println("  seed " + o.seed + ": " + o.broken().get(0)));
            return RULE_BROKEN;
        }
    }

    @Command(name = "run", mixinStandardHelpOptions = true, description = "Runs a scenario over seeds: each figure with its interval.")
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
            out().printf(Locale.ROOT, "%d runs, %d events, %.1f s, %.0f events a second%n", runs, events, took, events / took);
            files(Map.of("this", all));
            return rules(all);
        }
    }

    @Command(name = "compare", mixinStandardHelpOptions = true,
            description = "Two versions on the same seeds: better, worse, or can't tell.")
    static final class Compare extends Tries {
        @Option(names = "--first", description = "a gateway's jar (this version)")
        Path first;

        @Option(names = "--second", description = "a gateway's jar (this version)")
        Path second;

        @Option(names = "--figure", defaultValue = "service", description = "what is compared; more is better (${DEFAULT-VALUE})")
        String figure;

        @Override
        public Integer call() throws Exception {
            Study study = study();
            List<Outcome> a = study.run(first == null ? Versions.here() : Versions.of(first), seed, runs);
            List<Outcome> b = study.run(second == null ? Versions.here() : Versions.of(second), seed, runs);
            if (!a.get(0).figures().containsKey(figure)) {
                throw new CommandLine.ParameterException(spec.commandLine(), "--figure: expected one of " + a.get(0).figures().keySet());
            }
            Study.Comparison c = Study.compare(a, b, figure, level);
            out().printf(Locale.ROOT, "first   %.4f  [%.4f, %.4f]%nsecond  %.4f  [%.4f, %.4f]%nsecond - first  %+.4f  [%+.4f, %+.4f]%n",
                    c.first().mean(), c.first().least(), c.first().most(), c.second().mean(), c.second().least(), c.second().most(),
                    c.difference().mean(), c.difference().least(), c.difference().most());
            out().println(switch (c.verdict()) {
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
}
