package tinford.lab.model;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import tinford.api.DecisionModule;
import tinford.api.Idempotency;
import tinford.lab.Scenarios;
import tinford.lab.scenario.Scenario;
import tinford.lab.study.Versions;

/**
 * How near cold servers come to their bound, by settings, case and number of processes: the table
 * of docs/lab.md. A line a run. Words: the jar of a gateway or "here", settings, cases and
 * processes (with commas between, or "all"), how many seeds, the first.
 */
final class SlowStartBudgetStudy {
    static final Map<String, Map<String, String>> SETTINGS = new LinkedHashMap<>();
    static final Map<String, Object[]> CASES = new LinkedHashMap<>();

    static {
        // requests that the settings allow a server just started: 64, 16, 0.67
        SETTINGS.put(
                "large",
                Map.of(
                        "servers.cores",
                        "8",
                        "servers.room",
                        "40",
                        "clients.customers",
                        "1000",
                        "counter.parts",
                        "8"));
        SETTINGS.put("middle", Map.of());
        SETTINGS.put(
                "small",
                Map.of(
                        "servers.cores",
                        "1",
                        "servers.room",
                        "4",
                        "frontends.f.work",
                        "600",
                        "frontends.f.target",
                        "5000",
                        "frontends.f.timeout",
                        "9000",
                        "frontends.f.repeat_window",
                        "9000",
                        "plans.p.rate",
                        "0.164"));
        // part of the servers that start anew; gateways: none, at once, a tenth at a time; more
        CASES.put("one", new Object[] {0.05, 0, Map.of()});
        CASES.put("half", new Object[] {0.5, 0, Map.of()});
        CASES.put("all but one", new Object[] {0.95, 0, Map.of()});
        CASES.put("all", new Object[] {1.0, 0, Map.of()});
        CASES.put("half, gateways at once", new Object[] {0.5, 1, Map.of()});
        CASES.put("half, gateways by tenths", new Object[] {0.5, 10, Map.of()});
        CASES.put("all, gateways at once", new Object[] {1.0, 1, Map.of()});
        CASES.put("all, gateways by tenths", new Object[] {1.0, 10, Map.of()});
        CASES.put(
                "half, asked suddenly",
                new Object[] {0.5, 0, Map.of("clients.use", "0.1", "rise", "8")});
        CASES.put(
                "all but one, asked suddenly",
                new Object[] {0.95, 0, Map.of("clients.use", "0.1", "rise", "8")});
        CASES.put(
                "all, asked suddenly",
                new Object[] {1.0, 0, Map.of("clients.use", "0.1", "rise", "8")});
        CASES.put(
                "all, asked again and again",
                new Object[] {
                    1.0,
                    0,
                    Map.of("clients.use", "1.5", "clients.retries", "4", "clients.honour", "0")
                });
        CASES.put("half, uneven", new Object[] {0.5, 0, Map.of("clients.uneven", "2")});
        CASES.put("half, twice asked", new Object[] {0.5, 0, Map.of("clients.use", "2")});
        CASES.put("all but one, twice asked", new Object[] {0.95, 0, Map.of("clients.use", "2")});
        CASES.put("all, twice asked", new Object[] {1.0, 0, Map.of("clients.use", "2")});
    }

    private SlowStartBudgetStudy() {}

    static Scenario scenario(String setting, String name, int gateways, Map<String, String> more)
            throws Scenario.Bad {
        Object[] c = CASES.get(name);
        String faults =
                """
                [[faults]]
                kind = "SERVERS_DIE"
                at_s = 2
                for_s = 1
                part = %s
                size = 0
                """
                        .formatted(c[0]);
        int steps = (Integer) c[1];
        if (steps > 0) {
            faults +=
                    """
                    [[faults]]
                    kind = "GATEWAYS_%s"
                    at_s = %s
                    for_s = %s
                    part = 1
                    size = %d
                    """
                            .formatted(
                                    steps == 1 ? "DIE" : "ROLL",
                                    steps == 1 ? "3.8" : "2.5",
                                    steps == 1 ? "0.2" : "4",
                                    Math.min(steps, gateways));
        }
        @SuppressWarnings("unchecked")
        Map<String, String> further = new HashMap<>((Map<String, String>) c[2]);
        String rise = further.remove("rise");
        if (rise != null) {
            faults +=
                    """
                    [[faults]]
                    kind = "LOAD_RISES"
                    at_s = 4.5
                    for_s = 3
                    part = 0
                    size = %s
                    """
                            .formatted(rise);
        }
        Map<String, String> changes =
                new HashMap<>(
                        Map.of(
                                "length_s",
                                "8",
                                "gateways",
                                "" + gateways,
                                "servers.count",
                                "20",
                                "servers.speed_spread",
                                "0.3",
                                "clients.customers",
                                "250",
                                "net.list_late",
                                "20",
                                "clients.use",
                                "0.8"));
        changes.putAll(SETTINGS.get(setting));
        changes.putAll(further);
        changes.putAll(more);
        return Scenario.of("cold", Scenarios.text(0, faults, Idempotency.IDEMPOTENT), changes);
    }

    private static List<String> named(String word, Iterable<String> all) {
        List<String> every = new ArrayList<>();
        all.forEach(every::add);
        return word.equals("all") ? every : Arrays.asList(word.split("/"));
    }

    public static void main(String[] words) throws Exception {
        DecisionModule.Factory maker =
                words[0].equals("here") ? Versions.here() : Versions.of(Path.of(words[0]));
        int seeds = Integer.parseInt(words[4]);
        long first = Long.parseLong(words[5]);
        Map<String, String> more = new HashMap<>();
        for (int i = 6; i < words.length; i++) {
            more.put(words[i].split("=")[0], words[i].split("=")[1]);
        }
        ExecutorService pool = Executors.newFixedThreadPool(2);
        List<Future<String>> lines = new ArrayList<>();
        for (String setting : named(words[1], SETTINGS.keySet())) {
            for (String name : named(words[2], CASES.keySet())) {
                for (String g : named(words[3], List.of("5", "20", "30", "100"))) {
                    for (long seed = first; seed < first + seeds; seed++) {
                        long s = seed;
                        lines.add(
                                pool.submit(
                                        () -> {
                                            Simulation w =
                                                    new Simulation(
                                                            scenario(
                                                                    setting,
                                                                    name,
                                                                    Integer.parseInt(g),
                                                                    more),
                                                            s,
                                                            maker);
                                            RunResult o = w.run();
                                            SlowStartBudget b = w.oracle.cold();
                                            SlowStartBudget.Approach n = b.nearest();
                                            Map<String, Double> f = o.figures();
                                            return String.format(
                                                    Locale.ROOT,
                                                    "%s;%s;%s;%d;%.4f;%.4f;%.2f;%.1f;%.1f;%d;%d;%.1f;%.4f;%.3f;%.0f",
                                                    setting,
                                                    name,
                                                    g,
                                                    s,
                                                    n.of(),
                                                    b.nearestBlamed().of(),
                                                    f.get("cold_at_s"),
                                                    n.requests(),
                                                    n.most(),
                                                    b.falls(),
                                                    o.brokenCount(),
                                                    b.came(),
                                                    o.service(),
                                                    f.get("load"),
                                                    f.get("tries"));
                                        }));
                    }
                }
            }
        }
        System.out.println(
                "setting;case;processes;seed;nearest;blamed;at_s;reqs;most;falls;broken;came;service;load;tries");
        for (Future<String> line : lines) {
            System.out.println(line.get());
        }
        pool.shutdown();
    }
}
