package tinford.decision;

import tinford.api.AttemptOutcome;
import tinford.api.CounterSettings;

/**
 * Keeps a gap between calls on a counter that bears fewer than one a request: fewer calls are made,
 * and more of them answered in time. Also tells when the counter is silent.
 */
final class CounterPacer {
    /** Unanswered calls in a row after which the counter is silent. */
    private static final int SILENCE_THRESHOLD = 4;

    /** All gateways together look this often whether a silent counter is back. */
    private static final double PROBE_INTERVAL_MS = 50;

    private static final double MAX_PROBE_INTERVAL_MS = 4000;

    /** Time in which answers shrink the gap, and the most that one answer shrinks it by. */
    private static final double GAP_DECAY_MS = 700;

    private static final double MAX_GAP_DECREASE = 0.3;
    private static final double GAP_INCREASE_FACTOR = 1.5;
    private static final double MIN_GAP_MS = 1;

    /**
     * A call that takes this part of the time-out longer than the quickest has waited in a queue at
     * the counter.
     */
    private static final double QUEUED_SHARE_OF_TIMEOUT = 0.35;

    /**
     * Queueing counts only from this gap on: a gateway that makes many calls queues behind its own.
     */
    private static final double QUEUEING_GAP_SHARE_OF_TIMEOUT = 1.0 / 8;

    private static final double QUICKEST_PERIOD_MS = 10_000;

    /** A counter that gave late answers so recently is slow, not silent. */
    private static final double LATE_ANSWER_PERIOD_MS = 1000;

    private final CounterSettings settings;
    private final int gatewayCount;
    private int unanswered;
    private double lastCallMs = Double.NEGATIVE_INFINITY;
    private double lastIncreaseMs = Double.NEGATIVE_INFINITY;
    private double lastLateAnswerMs = Double.NEGATIVE_INFINITY;
    private double gapMs;
    private double quickestMs = Double.POSITIVE_INFINITY;
    private double quickestBeforeMs = Double.POSITIVE_INFINITY;
    private double quickestSinceMs;

    CounterPacer(CounterSettings settings, int gatewayCount) {
        this.settings = settings;
        this.gatewayCount = gatewayCount;
    }

    boolean isSilent() {
        return unanswered >= SILENCE_THRESHOLD;
    }

    /** Whether the counter adds late what it does not answer in time. */
    boolean isSlow(double nowMs) {
        return !isSilent() || nowMs - lastLateAnswerMs < LATE_ANSWER_PERIOD_MS;
    }

    /** Whether the counter bears fewer calls than there are requests. */
    boolean isGapKept() {
        return gapMs >= MIN_GAP_MS;
    }

    /** For how long no further call may be made to a silent counter. */
    double probeIntervalMs() {
        return Math.min(MAX_PROBE_INTERVAL_MS, PROBE_INTERVAL_MS * gatewayCount);
    }

    /** The gap between calls; below 1 ms none is kept. */
    double gapMs() {
        return gapMs;
    }

    boolean hasPassed(double pauseMs, double nowMs) {
        return nowMs - lastCallMs >= pauseMs;
    }

    void callSent(double nowMs) {
        lastCallMs = nowMs;
    }

    void lateAnswer(double nowMs) {
        lastLateAnswerMs = nowMs;
    }

    void callEnded(AttemptOutcome outcome, double tookMs, double nowMs) {
        boolean answered = outcome == AttemptOutcome.SUCCESS;
        boolean lost = outcome == AttemptOutcome.CONNECTION_LOST;
        unanswered = answered || lost ? 0 : unanswered + 1;
        // a connection that ends under a call is no sign of load
        if (!lost) {
            updateGap(answered, tookMs, nowMs);
        }
    }

    private void updateGap(boolean answered, double tookMs, double nowMs) {
        if (nowMs - quickestSinceMs > QUICKEST_PERIOD_MS) {
            quickestBeforeMs = quickestMs;
            quickestMs = Double.POSITIVE_INFINITY;
            quickestSinceMs = nowMs;
        }
        if (answered) {
            quickestMs = Math.min(quickestMs, tookMs);
        }
        if (answered && !hasQueued(tookMs)) {
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
     * Each of many gateways sees the queue at the counter grow by the time of its calls, before any
     * is missed.
     */
    private boolean hasQueued(double tookMs) {
        return gapMs > settings.timeoutMs() * QUEUEING_GAP_SHARE_OF_TIMEOUT
                && tookMs
                        > Math.min(quickestMs, quickestBeforeMs)
                                + QUEUED_SHARE_OF_TIMEOUT * settings.timeoutMs();
    }
}
