package tinford.lab.sockets;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.ConcurrentHistogram;

/** What clients saw, summed; told by any of their threads. */
final class ClientFigures {
    private static final int LONGEST_MS = 3_600_000;

    private final ConcurrentHistogram took = new ConcurrentHistogram(LONGEST_MS, 3);
    private double offered;
    private double passed;
    private long denied;
    private long aborted;
    private long late;
    private long unanswered;

    /** A request inside its quota was asked for the first time. */
    synchronized void offered(double value) {
        offered += value;
    }

    /**
     * @param value what it earned
     */
    synchronized void passed(double ms, double value) {
        record(ms);
        passed += value;
    }

    /**
     * @param cost of what was done beyond a quota
     */
    synchronized void late(double ms, double cost) {
        record(ms);
        late++;
        passed -= cost;
    }

    private void record(double ms) {
        took.recordValue(Math.max(0, Math.round(ms)));
    }

    synchronized void denied() {
        denied++;
    }

    synchronized void aborted() {
        aborted++;
    }

    synchronized void unanswered() {
        unanswered++;
    }

    /** With the model's names. */
    synchronized Map<String, Double> of(double tries) {
        Map<String, Double> figures = new TreeMap<>();
        figures.put("service", passed / offered);
        figures.put("denied", denied / tries);
        figures.put("aborted", aborted / tries);
        figures.put("late", late / tries);
        figures.put("unanswered", unanswered / tries);
        figures.put("tries", tries);
        figures.put("p50_ms", (double) took.getValueAtPercentile(50));
        figures.put("p99_ms", (double) took.getValueAtPercentile(99));
        figures.put("p999_ms", (double) took.getValueAtPercentile(99.9));
        return figures;
    }
}
