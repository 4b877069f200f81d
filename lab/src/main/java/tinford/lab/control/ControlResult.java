package tinford.lab.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * What came of one scenario: figures by name, promises that were broken, and limits that were
 * missed.
 */
record ControlResult(
        ControlScenario scenario,
        Map<String, Double> figures,
        List<String> broken,
        List<String> missed) {
    static ControlResult of(ControlScenario scenario) {
        return new ControlResult(scenario, new TreeMap<>(), new ArrayList<>(), new ArrayList<>());
    }

    void put(String name, double value) {
        figures.put(name, value);
    }

    /** A figure that may be no larger than its limit. */
    void putLimited(String name, double value, double limit) {
        put(name, value);
        if (value > limit) {
            missed.add(String.format(Locale.ROOT, "%s is %.3f, at most %.3f", name, value, limit));
        }
    }

    boolean good() {
        return broken.isEmpty() && missed.isEmpty();
    }

    /** One line for the terminal. */
    String summary() {
        return String.format(
                Locale.ROOT,
                "%-22s revisions %3.0f  in force everywhere: median %.3f s, largest %.3f s;"
                        + " each: p99 %.3f s  bytes/s a follower: mean %.0f, worst 10 s %.0f"
                        + "  cores a follower %.5f, a server at most %.3f  broken %d, missed %d",
                scenario.label(),
                figures.getOrDefault("revisions", Double.NaN),
                figures.getOrDefault("everywhere_median_s", Double.NaN),
                figures.getOrDefault("everywhere_largest_s", Double.NaN),
                figures.getOrDefault("each_p99_s", Double.NaN),
                figures.getOrDefault("bytes_per_s_mean", Double.NaN),
                figures.getOrDefault("bytes_per_s_worst_10s", Double.NaN),
                figures.getOrDefault("cores_a_follower", Double.NaN),
                figures.getOrDefault("cores_a_server_most", Double.NaN),
                broken.size(),
                missed.size());
    }
}
