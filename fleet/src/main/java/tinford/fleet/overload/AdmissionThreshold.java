package tinford.fleet.overload;

import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Membership;

/**
 * The priority weight a unit below which requests are shed while the servers' capacity is lower
 * than the demand; every gateway computes it from the same records. The capacity is what the
 * servers answer in time while overloaded. It is gossiped, and the median of all estimates is
 * followed, so that gateways that start, or that miss some records, come to the same threshold.
 * Without overload it grows, slowly at first and then ever faster, until there is no threshold:
 * whatever the demand, a threshold is gone within two windows after its cause. Times are in ms.
 */
public final class AdmissionThreshold {
    private static final double NO_LIMIT = Double.POSITIVE_INFINITY;

    /** Mean time in the queue from which the gateways' own limits count as exhausted. */
    private static final double QUEUE_TIME_S = 0.05;

    /** Standard deviations: with few requests, a single queued one is no overload. */
    private static final double SIGNIFICANT_DEVIATIONS = 3;

    /** How long an overload lasts before a threshold begins; a burst is over by then. */
    private static final double ONSET_MS = 600;

    /** Share of late and failed attempts that is an overload: more than one bad server in five. */
    private static final double OVERLOAD_FAILURE_SHARE = 0.25;

    /** Time constant by which the capacity follows what is answered in time. */
    private static final double SETTLE_MS = 400;

    /** Time constant by which it follows the others; slower than its growth without overload. */
    private static final double AGREEMENT_MS = 2000;

    /** Capacity over demand at which the threshold ends, as it would only shed bursts. */
    private static final double END_FACTOR = 1.1;

    private static final double MAX_STEP_MS = 1000;
    private static final double MIN_CAPACITY = 1e-9;

    /** Lowest part of the demand from which the capacity grows. */
    private static final double MIN_GROWTH_PART = 1.0 / 64;

    private final double windowMs;
    private double capacity = NO_LIMIT;
    private double overloadedForMs;
    private double lastOverloadMs;
    private double lastUpdateMs = -1;
    private double endedMs = Double.NEGATIVE_INFINITY;
    private double threshold;
    private double partAtThreshold = 1;
    private double demand;

    /**
     * @param windowMs without overload, a threshold is gone within two of them
     */
    public AdmissionThreshold(double windowMs) {
        this.windowMs = windowMs;
    }

    /** Priority weight a unit below which requests are shed; 0 for none. */
    public double threshold() {
        return threshold;
    }

    /** The part that is admitted of the priority class that begins at the threshold. */
    public double partAtThreshold() {
        return partAtThreshold;
    }

    /** For the own record: units a second, or 0 without a threshold. */
    public double capacity() {
        return capacity == NO_LIMIT ? 0 : capacity;
    }

    /** Demand over capacity; 0 without a threshold. */
    public double overloadFactor() {
        return capacity == NO_LIMIT ? 0 : demand / Math.max(MIN_CAPACITY, capacity);
    }

    /** Takes in the present records; a gateway without others acts as a single one. */
    public void update(double nowMs, Membership membership) {
        double stepMs =
                lastUpdateMs < 0 ? 0 : Math.max(0, Math.min(nowMs - lastUpdateMs, MAX_STEP_MS));
        lastUpdateMs = nowMs;
        if (membership.aliveCount() <= 1 || membership.freshRecords().size() < 2) {
            capacity = NO_LIMIT;
            demand = 0;
            admitAll();
            return;
        }
        FleetTotals totals = new FleetTotals(membership);
        followOthers(membership, stepMs);
        boolean overloaded = isOverloaded(totals);
        overloadedForMs += overloaded ? stepMs : -stepMs;
        overloadedForMs = Math.max(0, Math.min(ONSET_MS, overloadedForMs));
        if (overloaded && (capacity != NO_LIMIT || overloadedForMs >= ONSET_MS)) {
            lastOverloadMs = nowMs;
            followAnswers(totals, stepMs);
        } else if (capacity != NO_LIMIT) {
            grow(totals, nowMs, stepMs);
        }
        demand = totals.demand;
        computeThreshold(totals);
    }

    private static boolean isOverloaded(FleetTotals totals) {
        return totals.demand > 0
                && (hasQueues(totals) || totals.failureShare > OVERLOAD_FAILURE_SHARE);
    }

    /** By first attempts, as shedding makes queues shorter and must not prolong itself. */
    private static boolean hasQueues(FleetTotals totals) {
        double tolerated = QUEUE_TIME_S * totals.firstAttempts;
        return totals.queued
                > tolerated + SIGNIFICANT_DEVIATIONS * Math.sqrt(Math.max(1, tolerated));
    }

    private void followAnswers(FleetTotals totals, double stepMs) {
        double answered = Math.min(totals.demand, totals.onTimeUnits);
        capacity =
                capacity == NO_LIMIT
                        ? Math.max(answered, totals.demand / 2)
                        : capacity + (answered - capacity) * Math.min(1, stepMs / SETTLE_MS);
    }

    private void grow(FleetTotals totals, double nowMs, double stepMs) {
        double calmMs = nowMs - lastOverloadMs;
        double calmBeforeMs = Math.max(0, calmMs - stepMs);
        double octaves = (calmMs * calmMs - calmBeforeMs * calmBeforeMs) / (windowMs * windowMs);
        double base = Math.max(capacity, totals.demand * MIN_GROWTH_PART);
        capacity = base * Math.pow(2, octaves);
        if (capacity > END_FACTOR * totals.demand) {
            capacity = NO_LIMIT;
            endedMs = nowMs;
        }
    }

    private void followOthers(Membership membership, double stepMs) {
        double median = medianCapacity(membership);
        if (median != NO_LIMIT && capacity == NO_LIMIT) {
            // records from before the end of a threshold must not bring it back
            boolean hasJoined = lastUpdateMs - endedMs > windowMs;
            capacity = hasJoined ? median : NO_LIMIT;
        } else if (median != NO_LIMIT) {
            capacity *= Math.pow(median / capacity, Math.min(1, stepMs / AGREEMENT_MS));
        } else if (capacity != NO_LIMIT) {
            capacity *= 1 + stepMs / AGREEMENT_MS;
        }
    }

    private static double medianCapacity(Membership membership) {
        double[] capacities =
                membership.freshRecords().stream()
                        .mapToDouble(record -> FleetTotals.sanitize(record.capacity))
                        .map(reported -> reported > 0 ? reported : NO_LIMIT)
                        .sorted()
                        .toArray();
        return capacities[capacities.length / 2];
    }

    private void admitAll() {
        threshold = 0;
        partAtThreshold = 1;
    }

    /** Admits from the highest class down, as far as the capacity goes. */
    private void computeThreshold(FleetTotals totals) {
        admitAll();
        if (capacity == NO_LIMIT) {
            return;
        }
        double left = capacity;
        for (int c = GossipRecord.PRIORITY_CLASSES - 1; c >= 0; c--) {
            double offered = totals.offeredByClass[c];
            if (offered > left) {
                threshold = GossipRecord.minWeightOf(c);
                partAtThreshold = Math.max(0, left / offered);
                return;
            }
            left -= offered;
        }
    }
}
