package tinford.decision;

import java.util.Random;

/** Counts and limits the attempts that this gateway has in flight at all servers together. */
final class OpenAttempts {
    /** Multiple of the current mean latency after which an attempt counts as stalled. */
    private static final double STALLED_MULTIPLE = 3;

    private int open;
    private int stalled;
    private int peak;
    private int limit = 1;
    private double limitSum;

    boolean isFull() {
        return open >= limit;
    }

    /** Returns the maximum number of open attempts since the last update of the limit. */
    int peak() {
        return peak;
    }

    /** Returns the sum of the servers' limits as of the last update of the limit. */
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
     * Marks an attempt as stalled if it has been in flight for too long. A stalled attempt occupies
     * no slot, so that a few hanging servers can't block a gateway with few slots. The number of
     * stalled attempts is bounded by the limit.
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

    /** Sets the limit to the sum of the servers' limits plus its square root, rounded randomly. */
    void updateLimit(double sumOfLimits, Random random) {
        limitSum = sumOfLimits;
        limit = Math.max(1, (int) (limitSum + Math.sqrt(limitSum) + random.nextDouble()));
        peak = open;
    }
}
