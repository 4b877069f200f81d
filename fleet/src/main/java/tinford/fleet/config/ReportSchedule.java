package tinford.fleet.config;

import java.util.random.RandomGenerator;

/**
 * Decides when a follower sends a report: at a regular interval with jitter, and soon after a
 * change, but never twice within {@link Follower#MIN_REPORT_GAP_MS}. Not thread-safe.
 */
final class ReportSchedule {
    private static final double MIN_INTERVAL_FACTOR = 0.9;
    private static final double INTERVAL_JITTER = 0.1;

    private final RandomGenerator random;
    private double dueAtMs = Double.POSITIVE_INFINITY;
    private double sentAtMs = Double.NEGATIVE_INFINITY;

    ReportSchedule(RandomGenerator random) {
        this.random = random;
    }

    /** Records that a report is sent now; the next one is due an interval later. */
    void sent(double nowMs) {
        sentAtMs = nowMs;
        double factor = MIN_INTERVAL_FACTOR + INTERVAL_JITTER * random.nextDouble();
        dueAtMs = nowMs + Follower.REPORT_INTERVAL_MS * factor;
    }

    boolean isDue(double nowMs) {
        return nowMs >= dueAtMs;
    }

    /** Makes the next report due at the earliest time that the minimum gap allows. */
    void bringForward() {
        dueAtMs = Math.min(dueAtMs, sentAtMs + Follower.MIN_REPORT_GAP_MS);
    }

    /** Whether enough time has passed since the last report to send another one. */
    boolean isMinGapOver(double nowMs) {
        return nowMs - sentAtMs >= Follower.MIN_REPORT_GAP_MS;
    }
}
