package tinford.lab.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Figures of a fleet's run, from the histories. */
final class FleetFigures {
    private static final double SPAN = 500; // ms
    private static final double AS_BEFORE = 0.9;

    private FleetFigures() { }

    /**
     * Worth passed by its target of the worth asked inside quotas; dispatches a req; and seconds from the end of the last fault
     * until for one whole second nine tenths of what passed before the first fault passes again (-1: not by the end, or nothing
     * to compare).
     */
    static Map<String, Double> of(List<History.Line> lines, FleetScript script, double began) {
        Map<String, History.Line> asked = new HashMap<>();
        TreeMap<Integer, double[]> spans = new TreeMap<>(); // worth asked, passed, by when it was asked
        double dispatches = 0;
        double worth = 0;
        double passed = 0;
        for (History.Line l : lines) {
            switch (l.kind()) {
                case "dispatch" -> dispatches++;
                case "asked" -> {
                    asked.put(l.text("req"), l);
                    worth += value(l);
                    spans.computeIfAbsent(span(l, began), k -> new double[2])[0] += value(l);
                }
                case "answered" -> {
                    History.Line ask = asked.get(l.text("req"));
                    if (ask != null && l.text("how").equals("passed")) {
                        passed += value(ask);
                        spans.get(span(ask, began))[1] += value(ask);
                    }
                }
                default -> { }
            }
        }
        Map<String, Double> figures = new TreeMap<>();
        figures.put("worth_passed", worth == 0 ? 0 : passed / worth);
        figures.put("dispatches_a_req", asked.isEmpty() ? 0 : dispatches / asked.size());
        figures.put("as_before_s", asBefore(spans, script));
        return figures;
    }

    private static double asBefore(TreeMap<Integer, double[]> spans, FleetScript script) {
        double first = script.faults().stream().mapToDouble(FleetScript.Fault::at_s).min().orElse(0) * 1000;
        double last = script.faults().stream().mapToDouble(f -> f.at_s() + f.for_s()).max().orElse(0) * 1000;
        double[] before = new double[2];
        spans.headMap((int) (first / SPAN)).values().forEach(v -> {
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
