package tinford.fleet.membership;

/**
 * Detects from steps of the clock that this process was suspended. Messages that were queued during
 * a suspension are older than they seem, and not having heard from a peer does not mean that it has
 * failed.
 */
final class SuspensionDetector {
    private final double roundIntervalMs;
    private final double suspectAfterMs;
    private double suspensionMs;
    private double resumingUntilMs = Double.NEGATIVE_INFINITY;

    SuspensionDetector(double roundIntervalMs, double suspectAfterMs) {
        this.roundIntervalMs = roundIntervalMs;
        this.suspectAfterMs = suspectAfterMs;
    }

    /**
     * Records a step of the clock.
     *
     * @param fromMs negative infinity before the first step
     * @return whether the step was long enough for live peers to exceed the suspicion timeout
     */
    boolean advance(double fromMs, double toMs) {
        if (fromMs == Double.NEGATIVE_INFINITY) {
            return false;
        }
        double stepMs = toMs - fromMs;
        if (stepMs > 2 * roundIntervalMs) {
            suspensionMs = stepMs;
            resumingUntilMs = toMs + roundIntervalMs;
        }
        return stepMs > Math.max(suspectAfterMs / 2, 2 * roundIntervalMs);
    }

    /** Whether messages that were queued during a suspension may still arrive. */
    boolean isResuming(double nowMs) {
        return nowMs < resumingUntilMs;
    }

    /** The longest time that a message received now may have been queued during a suspension. */
    double maxQueueingDelayMs(double nowMs) {
        return isResuming(nowMs) ? suspensionMs : 0;
    }
}
