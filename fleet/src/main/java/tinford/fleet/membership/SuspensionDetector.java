package tinford.fleet.membership;

/**
 * Detects that the own process was suspended. Messages that waited meanwhile are older than they
 * seem, and silence of others proves nothing.
 */
final class SuspensionDetector {
    private final double roundIntervalMs;
    private final double suspectAfterMs;
    private double durationMs;
    private double wakingUntilMs = Double.NEGATIVE_INFINITY;

    SuspensionDetector(double roundIntervalMs, double suspectAfterMs) {
        this.roundIntervalMs = roundIntervalMs;
        this.suspectAfterMs = suspectAfterMs;
    }

    /**
     * Notes a step of the clock.
     *
     * @param fromMs negative infinity before the first step
     * @return whether it was so long that others may seem silent because of it
     */
    boolean advance(double fromMs, double toMs) {
        if (fromMs == Double.NEGATIVE_INFINITY) {
            return false;
        }
        double stepMs = toMs - fromMs;
        if (stepMs > 2 * roundIntervalMs) {
            durationMs = stepMs;
            wakingUntilMs = toMs + roundIntervalMs;
        }
        return stepMs > Math.max(suspectAfterMs / 2, 2 * roundIntervalMs);
    }

    /** Whether messages that waited during a suspension may still come. */
    boolean isWakingUp(double nowMs) {
        return nowMs < wakingUntilMs;
    }

    /** By how much a message that comes now may be older than it seems. */
    double possibleDelayMs(double nowMs) {
        return isWakingUp(nowMs) ? durationMs : 0;
    }
}
