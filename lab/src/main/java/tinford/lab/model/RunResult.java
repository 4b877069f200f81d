package tinford.lab.model;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What a run came to. Shares are of value, but for those that say units. */
public final class RunResult {
    public final long seed;
    double offered;
    double passed;
    double beyondCost;
    double unitsOn;
    double unitsBeyond;
    long tries;
    long denied;
    long aborted;
    long late;
    long unanswered;
    long calls;
    long callsUnanswered;
    long things;
    double load;
    double seconds;
    private final Map<String, Double> cold = new TreeMap<>();
    final Histogram took = new Histogram(3_600_000, 3);
    List<String> broken = List.of();
    long brokenCount;

    RunResult(long seed) {
        this.seed = seed;
    }

    /**
     * Value that had its answer by its target, less what was spent beyond quotas, over what was
     * asked inside them.
     */
    public double service() {
        return offered <= 0 ? Double.NaN : (passed - beyondCost) / offered;
    }

    public List<String> broken() {
        return broken;
    }

    public long brokenCount() {
        return brokenCount;
    }

    public long tries() {
        return tries;
    }

    public long events() {
        return things;
    }

    /** How near cold servers came to their bound, in a run that began at {@code start}. */
    void cold(SlowStartBudget b, double start) {
        cold.put("cold_nearest", b.nearest().of());
        cold.put("cold_told", b.nearest().told());
        cold.put("cold_at_s", b.nearest().of() > 0 ? (b.nearest().at() - start) / 1000 : 0);
        cold.put("cold_blamed", b.nearestBlamed().of());
        cold.put(
                "cold_blamed_at_s",
                b.nearestBlamed().of() > 0 ? (b.nearestBlamed().at() - start) / 1000 : 0);
        cold.put("cold_falls", (double) b.falls());
    }

    /** Every try ends once: with one of these. */
    public boolean conserved() {
        return tries == took.getTotalCount() + denied + aborted + unanswered;
    }

    public Map<String, Double> figures() {
        Map<String, Double> f = new TreeMap<>();
        f.put("service", service());
        f.put("denied", share(denied));
        f.put("aborted", share(aborted));
        f.put("late", share(late));
        f.put("unanswered", share(unanswered));
        f.put("beyond_units", unitsOn == 0 ? 0 : unitsBeyond / unitsOn);
        f.put("calls_a_try", share(calls));
        f.put("calls_unanswered", calls == 0 ? 0 : (double) callsUnanswered / calls);
        f.put("p50_ms", (double) took.getValueAtPercentile(50));
        f.put("p99_ms", (double) took.getValueAtPercentile(99));
        f.put("p999_ms", (double) took.getValueAtPercentile(99.9));
        f.put("load", load);
        f.putAll(cold);
        f.put("tries", (double) tries);
        f.put("rules_broken", (double) brokenCount);
        return f;
    }

    private double share(long n) {
        return tries == 0 ? 0 : (double) n / tries;
    }
}
