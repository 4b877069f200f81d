package tinford.decision;

import tinford.api.AttemptOutcome;
import tinford.api.CounterSettings;

/**
 * Spaces out the calls to a counter that can't handle one per request, so that more of the
 * remaining calls are answered in time. Also detects that the counter is unresponsive.
 */
final class CounterPacer {
    /** Consecutive unanswered calls after which the counter counts as unresponsive. */
    private static final int UNRESPONSIVE_THRESHOLD = 4;

    /** Interval at which all gateways together probe an unresponsive counter. */
    private static final double PROBE_INTERVAL_MS = 50;

    private static final double MAX_PROBE_INTERVAL_MS = 4000;

    /** Time constant with which timely answers shrink the gap. */
    private static final double GAP_DECAY_MS = 700;

    /** Maximum share of the gap by which one answer shrinks it. */
    private static final double MAX_GAP_DECREASE = 0.3;

    private static final double GAP_INCREASE_FACTOR = 1.5;
    private static final double MIN_GAP_MS = 1;

    /**
     * A call that takes longer than the fastest call by this share of the timeout has been queued
     * at the counter.
     */
    private static final double QUEUED_SHARE_OF_TIMEOUT = 0.35;

    /**
     * Queueing is only considered above this gap, as a share of the timeout: with a smaller gap a
     * gateway's calls queue behind its own earlier ones.
     */
    private static final double QUEUEING_GAP_SHARE_OF_TIMEOUT = 1.0 / 8;

    private static final double MIN_LATENCY_PERIOD_MS = 10_000;

    /** A counter that answered late within this period is slow rather than unreachable. */
    private static final double LATE_ANSWER_PERIOD_MS = 1000;

    private final CounterSettings settings;
    private final int gatewayCount;
    private int consecutiveUnanswered;
    private double lastCallMs = Double.NEGATIVE_INFINITY;
    private double lastIncreaseMs = Double.NEGATIVE_INFINITY;
    private double lastLateAnswerMs = Double.NEGATIVE_INFINITY;
    private double gapMs;
    private double minLatencyMs = Double.POSITIVE_INFINITY;
    private double previousMinLatencyMs = Double.POSITIVE_INFINITY;
    private double minLatencySinceMs;

    CounterPacer(CounterSettings settings, int gatewayCount) {
        this.settings = settings;
        this.gatewayCount = gatewayCount;
    }

    boolean isUnresponsive() {
        return consecutiveUnanswered >= UNRESPONSIVE_THRESHOLD;
    }

    /** Returns whether calls that time out are likely to be counted nevertheless. */
    boolean isSlow(double nowMs) {
        return !isUnresponsive() || nowMs - lastLateAnswerMs < LATE_ANSWER_PERIOD_MS;
    }

    /** Returns whether calls are spaced out, so that not every request makes one. */
    boolean isPacing() {
        return gapMs >= MIN_GAP_MS;
    }

    /** Returns this gateway's interval between probes of an unresponsive counter. */
    double probeIntervalMs() {
        return Math.min(MAX_PROBE_INTERVAL_MS, PROBE_INTERVAL_MS * gatewayCount);
    }

    /** Returns the minimum time between calls; below 1 ms calls are not spaced out. */
    double gapMs() {
        return gapMs;
    }

    boolean hasIntervalPassed(double intervalMs, double nowMs) {
        return nowMs - lastCallMs >= intervalMs;
    }

    void callSent(double nowMs) {
        lastCallMs = nowMs;
    }

    void lateAnswerReceived(double nowMs) {
        lastLateAnswerMs = nowMs;
    }

    void callEnded(AttemptOutcome outcome, double tookMs, double nowMs) {
        boolean answered = outcome == AttemptOutcome.SUCCESS;
        boolean lost = outcome == AttemptOutcome.CONNECTION_LOST;
        consecutiveUnanswered = answered || lost ? 0 : consecutiveUnanswered + 1;
        // a connection that breaks during a call does not indicate load
        if (!lost) {
            updateGap(answered, tookMs, nowMs);
        }
    }

    private void updateGap(boolean answered, double tookMs, double nowMs) {
        if (nowMs - minLatencySinceMs > MIN_LATENCY_PERIOD_MS) {
            previousMinLatencyMs = minLatencyMs;
            minLatencyMs = Double.POSITIVE_INFINITY;
            minLatencySinceMs = nowMs;
        }
        if (answered) {
            minLatencyMs = Math.min(minLatencyMs, tookMs);
        }
        if (answered && !wasQueued(tookMs)) {
            gapMs *= 1 - Math.min(MAX_GAP_DECREASE, gapMs / GAP_DECAY_MS);
        } else if (nowMs - lastIncreaseMs >= settings.timeoutMs()) {
            gapMs =
                    Math.min(
                            PROBE_INTERVAL_MS * gatewayCount,
                            Math.max(MIN_GAP_MS, gapMs) * GAP_INCREASE_FACTOR);
            lastIncreaseMs = nowMs;
        }
    }

    /**
     * Returns whether the latency of a call shows that it was queued at the counter. With many
     * gateways this shows overload before any call times out.
     */
    private boolean wasQueued(double tookMs) {
        return gapMs > settings.timeoutMs() * QUEUEING_GAP_SHARE_OF_TIMEOUT
                && tookMs
                        > Math.min(minLatencyMs, previousMinLatencyMs)
                                + QUEUED_SHARE_OF_TIMEOUT * settings.timeoutMs();
    }
}
