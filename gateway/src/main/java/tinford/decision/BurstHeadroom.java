package tinford.decision;

import tinford.api.Plan;

/**
 * By how much a tenant's current total may rise, as reads of the counter tell. The bound within a
 * window is taken from each earlier read as well: otherwise a calm stretch would save up several
 * bursts.
 */
final class BurstHeadroom {
    /** Part of the difference between the least and the most that an unseen rise may have cost. */
    private static final double UNSEEN_RISE_WEIGHT = 0.5;

    private double units;
    private double updatedAtMs;
    private double unitsAtLastRead;

    /** What is left now, after the total has risen by so many units unseen. */
    double refill(Plan plan, double risenUnits, double nowMs) {
        double full = units + (nowMs - updatedAtMs) * plan.quotaPerMs;
        double most = Math.min(plan.burst, full - risenUnits);
        // what rose unseen may have come last, out of a full bucket
        double least = Math.max(0, Math.min(plan.burst, full) - risenUnits);
        set(most - UNSEEN_RISE_WEIGHT * Math.max(0, most - least), nowMs);
        return units;
    }

    void set(double newUnits, double nowMs) {
        units = newUnits;
        updatedAtMs = nowMs;
    }

    /**
     * Takes in a read.
     *
     * @param ownUnits units of the request whose call read the total
     */
    void read(Plan plan, double risenUnits, double ownUnits, double nowMs) {
        // what was forwarded beyond the quota takes nothing from it: never below 0
        units = Math.max(0, refill(plan, risenUnits, nowMs)) - ownUnits;
    }

    /** Remembers what is left as of a read. */
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
