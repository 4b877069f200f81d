package tinford.decision;

import tinford.api.Plan;

/**
 * The units by which a tenant's total on the counter may currently rise: a token bucket that is
 * corrected by each read of the counter. Every read bounds the later ones within a window;
 * otherwise a tenant could accumulate several bursts while it sends little.
 */
final class BurstHeadroom {
    /**
     * Weight of the lower estimate of the headroom against the upper one, after units were used at
     * unknown times.
     */
    private static final double LOWER_ESTIMATE_WEIGHT = 0.5;

    private double units;
    private double updatedAtMs;
    private double unitsAtLastRead;

    /**
     * Refills the bucket and returns its level.
     *
     * @param risenUnits rise of the total since the last read that this gateway did not cause
     */
    double refill(Plan plan, double risenUnits, double nowMs) {
        double refilled = units + (nowMs - updatedAtMs) * plan.quotaPerMs;
        double upperEstimate = Math.min(plan.burst, refilled - risenUnits);
        // the units may have been used at the end of the interval, out of a full bucket
        double lowerEstimate = Math.max(0, Math.min(plan.burst, refilled) - risenUnits);
        set(
                upperEstimate - LOWER_ESTIMATE_WEIGHT * Math.max(0, upperEstimate - lowerEstimate),
                nowMs);
        return units;
    }

    void set(double newUnits, double nowMs) {
        units = newUnits;
        updatedAtMs = nowMs;
    }

    /**
     * Applies a read of the total.
     *
     * @param risenUnits rise of the total since the last read that this gateway did not cause
     * @param ownUnits units of the request whose call read the total
     */
    void applyRead(Plan plan, double risenUnits, double ownUnits, double nowMs) {
        // units that were forwarded beyond the quota leave no debt, so the level is at least 0
        units = Math.max(0, refill(plan, risenUnits, nowMs)) - ownUnits;
    }

    /** Stores the current level as the level at the last read. */
    void markRead() {
        unitsAtLastRead = units;
    }

    double unitsAtLastRead() {
        return unitsAtLastRead;
    }

    void spend(double spentUnits) {
        units -= spentUnits;
        unitsAtLastRead -= spentUnits;
    }
}
