package tinford.lab.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Figures of a fleet's run, from the histories. */
final class FleetFigures {
    private static final double SPAN = 500; // ms
    private static final double FOUND = 2000; // ms by which a fleet has found a server ill
    private static final double AS_BEFORE = 0.9;

    private FleetFigures() {}

    /**
     * Worth passed by its target of the worth asked inside quotas, a wish once however often it is
     * tried; dispatches a try, in all and from the first fault to the end of the last; tries a
     * second at a server that has been ill for two; how far the share denied of one worth differs
     * between gateways that nothing was done to (standard deviation, while faults last); and
     * seconds from the end of the last fault until for one whole second nine tenths of what passed
     * before the first fault passes again (-1: not by the end, or nothing to compare).
     */
    static Map<String, Double> of(List<History.Line> lines, FleetScript script, double began) {
        Map<String, History.Line> asked = new HashMap<>();
        Map<String, History.Line> roots = new HashMap<>();
        Set<String> passed = new HashSet<>();
        TreeMap<Integer, double[]> spans =
                new TreeMap<>(); // worth asked, passed, by when it was asked first
        Map<String, Double> unhealthy = new HashMap<>();
        Set<Integer> disturbed = new HashSet<>();
        TreeMap<Double, TreeMap<Integer, double[]>> shed =
                new TreeMap<>(); // asked, denied, by worth and gateway
        double first = began + first(script), last = began + last(script);
        double dispatches = 0,
                strainedDispatches = 0,
                strainedAsked = 0,
                tries = 0,
                illMs = 0,
                worth = 0,
                worthPassed = 0;
        Map<String, Integer> held = new HashMap<>();
        int all = 0;
        int most = 0;
        script.faults().stream()
                .filter(f -> f.kind().name().startsWith("GATEWAY_"))
                .forEach(f -> disturbed.addAll(f.who()));
        for (History.Line l : lines) {
            boolean during = l.at() >= first && l.at() < last;
            String server = l.text("server");
            switch (l.kind()) {
                case "opened", "closed" -> {
                    Integer before = held.put(l.text("server"), l.number("held"));
                    all += l.number("held") - (before == null ? 0 : before);
                    most = Math.max(most, all);
                }
                case "ill" -> unhealthy.put(server, l.at());
                case "well" ->
                        illMs +=
                                Math.max(
                                        0, l.at() - unhealthy.getOrDefault(server, l.at()) - FOUND);
                case "dispatch", "try" -> {
                    if (l.kind().equals("dispatch")) {
                        dispatches++;
                        strainedDispatches += during ? 1 : 0;
                    }
                    tries +=
                            l.at() - unhealthy.getOrDefault(server, Double.POSITIVE_INFINITY)
                                            > FOUND
                                    ? 1
                                    : 0;
                }
                case "asked" -> {
                    asked.put(l.text("req"), l);
                    strainedAsked += during ? 1 : 0;
                    if (roots.putIfAbsent(root(l), l) == null) {
                        worth += value(l);
                        spans.computeIfAbsent(span(l, began), k -> new double[2])[0] += value(l);
                    }
                }
                case "answered" -> {
                    History.Line ask = asked.get(l.text("req"));
                    if (ask != null && l.text("how").equals("passed") && passed.add(root(ask))) {
                        worthPassed += value(ask);
                        spans.get(span(roots.get(root(ask)), began))[1] += value(ask);
                    }
                    if (ask != null
                            && ask.is("inside")
                            && ask.at() >= first
                            && ask.at() < last
                            && !disturbed.contains(l.number("via"))) {
                        double[] of =
                                shed.computeIfAbsent(
                                                ask.fields().path("worth").asDouble(),
                                                k -> new TreeMap<>())
                                        .computeIfAbsent(l.number("via"), k -> new double[2]);
                        of[0]++;
                        of[1] += l.text("how").equals("denied") ? 1 : 0;
                    }
                }
                default -> {}
            }
            if (l.kind().equals("well")) {
                unhealthy.remove(server);
            }
        }
        Map<String, Double> figures = new TreeMap<>();
        figures.put("worth_passed", worth == 0 ? 0 : worthPassed / worth);
        figures.put("dispatches_a_req", asked.isEmpty() ? 0 : dispatches / asked.size());
        figures.put("held_most", (double) most);
        figures.put(
                "dispatches_strained", strainedAsked == 0 ? 0 : strainedDispatches / strainedAsked);
        figures.put("tries_at_ill_s", illMs == 0 ? 0 : tries / illMs * 1000);
        figures.put("shed_apart", apart(shed));
        figures.put("as_before_s", asBefore(spans, script));
        return figures;
    }

    /** Each worth counts by how often it was asked for. */
    private static double apart(TreeMap<Double, TreeMap<Integer, double[]>> shed) {
        double sum = 0, all = 0;
        for (TreeMap<Integer, double[]> of : shed.values()) {
            double asked = of.values().stream().mapToDouble(v -> v[0]).sum();
            double mean = of.values().stream().mapToDouble(v -> v[1] / v[0]).average().orElse(0);
            sum +=
                    asked
                            * Math.sqrt(
                                    of.values().stream()
                                            .mapToDouble(v -> Math.pow(v[1] / v[0] - mean, 2))
                                            .average()
                                            .orElse(0));
            all += asked;
        }
        return all == 0 ? 0 : sum / all;
    }

    private static String root(History.Line asked) {
        return asked.fields().has("root") ? asked.text("root") : asked.text("req");
    }

    private static double first(FleetScript script) {
        return script.faults().stream().mapToDouble(FleetScript.Fault::at_s).min().orElse(0) * 1000;
    }

    private static double last(FleetScript script) {
        return script.faults().stream().mapToDouble(f -> f.at_s() + f.for_s()).max().orElse(0)
                * 1000;
    }

    private static double asBefore(TreeMap<Integer, double[]> spans, FleetScript script) {
        double first = first(script);
        double last = last(script);
        double[] before = new double[2];
        spans.headMap((int) (first / SPAN))
                .values()
                .forEach(
                        v -> {
                            before[0] += v[0];
                            before[1] += v[1];
                        });
        if (before[1] == 0 || spans.isEmpty()) {
            return -1;
        }
        int good = 0;
        for (int i = (int) Math.ceil(last / SPAN); i <= spans.lastKey(); i++) {
            double[] v = spans.getOrDefault(i, new double[2]);
            good = v[0] > 0 && v[1] / v[0] >= AS_BEFORE * before[1] / before[0] ? good + 1 : 0;
            if (good * SPAN >= 1000) {
                return Math.max(0, ((i - good + 1) * SPAN - last) / 1000);
            }
        }
        return -1;
    }

    private static int span(History.Line l, double began) {
        return (int) Math.floor((l.at() - began) / SPAN);
    }

    private static double value(History.Line l) {
        return l.is("inside") ? l.fields().path("value").asDouble() : 0;
    }
}
