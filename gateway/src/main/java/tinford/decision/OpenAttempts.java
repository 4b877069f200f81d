package tinford.decision;

import java.util.Random;

/** How many attempts this gateway has open at all servers together, and how many it may have. */
final class OpenAttempts {
    /** An attempt that runs for this multiple of what answers take now is stalled. */
    private static final double STALLED_MULTIPLE = 3;

    private int open;
    private int stalled;
    private int peak;
    private int limit = 1;
    private double limitSum;

    boolean isFull() {
        return open >= limit;
    }

    /** Most that were open at once since the limit was last set. */
    int peak() {
        return peak;
    }

    /** Sum of the servers' limits, from which this limit was last set. */
    double limitSum() {
        return limitSum;
    }

    void attemptSent() {
        peak = Math.max(peak, ++open);
    }

    void attemptEnded(Attempt attempt) {
        if (attempt.stalled) {
            stalled--;
        } else {
            open--;
        }
    }

    /**
     * A stalled attempt occupies no slot, so that a gateway of few slots is not blocked by the few
     * servers that keep them; at most as many as there are slots are treated so.
     */
    void checkStalled(Attempt attempt, double latency, double fleetLatency) {
        if (latency > STALLED_MULTIPLE * fleetLatency * attempt.relativeSize
                && !attempt.stalled
                && stalled < limit) {
            attempt.stalled = true;
            stalled++;
            open--;
        }
    }

    /** The limit is the sum of the servers' limits and its square root, rounded by chance. */
    void updateLimit(double sumOfLimits, Random random) {
        limitSum = sumOfLimits;
        limit = Math.max(1, (int) (limitSum + Math.sqrt(limitSum) + random.nextDouble()));
        peak = open;
    }
}
