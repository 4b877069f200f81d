package tinford.fleet.overload;

import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Membership;

/**
 * The priority weight below which units are shed while the demand exceeds the capacity of the
 * servers. Each gateway computes it independently from the gossip records.
 *
 * <p>The capacity is estimated as the rate of units that the servers complete on time while they
 * are overloaded. Each gateway reports its estimate, and all estimates converge to the median of
 * the reported ones, so that gateways that joined late or missed records arrive at the same
 * threshold. Once the servers are no longer overloaded, the estimate grows, slowly at first and
 * then faster, until the threshold is removed: at any demand, a threshold is removed within two
 * windows after the overload that caused it has ended. Not thread-safe.
 */
public final class AdmissionThreshold {
    private static final double UNLIMITED = Double.POSITIVE_INFINITY;

    /** Mean queueing time without overload; ordinary bursts stay below it. */
    private static final double NORMAL_QUEUE_TIME_S = 0.05;

    /**
     * A queue that is longer than normal by this many standard deviations indicates overload rather
     * than random variation.
     */
    private static final double QUEUE_STANDARD_DEVIATIONS = 3;

    /**
     * How long overload must last before a threshold is set; the disturbance of a start or a burst
     * is shorter.
     */
    private static final double MIN_OVERLOAD_MS = 600;

    /**
     * Share of late and failed attempts above which the servers count as overloaded. Higher than
     * the share that one unhealthy server in five causes.
     */
    private static final double MAX_FAILED_SHARE = 0.25;

    /** Smooths the estimate over several updates, so that no single measurement determines it. */
    private static final double CAPACITY_SMOOTHING_MS = 400;

    /**
     * Time constant of the convergence to the median. Slower than the growth of the estimate, which
     * outdated records of the peers would otherwise hold back.
     */
    private static final double MEDIAN_SMOOTHING_MS = 2000;

    /**
     * Ratio of capacity to demand above which the threshold is removed; it would shed only bursts.
     */
    private static final double REMOVAL_CAPACITY_RATIO = 1.1;

    /** Longest time since the previous update that an update takes into account. */
    private static final double MAX_STEP_MS = 1000;

    /** While it grows, the estimate is at least the demand divided by this. */
    private static final double MIN_CAPACITY_DIVISOR = 64;

    private static final double MIN_CAPACITY = 1e-9;

    private final double windowMs;
    private double capacity = UNLIMITED;
    private double overloadedForMs;
    private double overloadedAtMs;
    private double updatedAtMs = -1;
    private double removedAtMs = Double.NEGATIVE_INFINITY;
    private double threshold;
    private double shareAtThreshold = 1;
    private double demand;

    /**
     * @param windowMs without overload, a threshold is removed within two windows
     */
    public AdmissionThreshold(double windowMs) {
        this.windowMs = windowMs;
    }

    /** The priority weight below which nothing is admitted; 0 if everything is admitted. */
    public double threshold() {
        return threshold;
    }

    /** The admitted share of the priority class whose lower bound is the threshold. */
    public double shareAtThreshold() {
        return shareAtThreshold;
    }

    /**
     * The estimated capacity of the servers in units per second, as reported in this gateway's
     * record; 0 if unknown.
     */
    public double capacity() {
        return capacity == UNLIMITED ? 0 : capacity;
    }

    /** Ratio of the demand to the capacity; 0 without a threshold. */
    public double demandToCapacity() {
        return capacity == UNLIMITED ? 0 : demand / Math.max(MIN_CAPACITY, capacity);
    }

    /** Updates the threshold from the fresh records. */
    public void update(double nowMs, Membership membership) {
        double stepMs =
                updatedAtMs < 0 ? 0 : Math.max(0, Math.min(nowMs - updatedAtMs, MAX_STEP_MS));
        updatedAtMs = nowMs;
        if (isAlone(membership)) {
            capacity = UNLIMITED;
            setThreshold(null);
            return;
        }
        FleetTotals totals = new FleetTotals(membership);
        moveTowardsMedian(membership, stepMs);
        boolean overloaded = isOverloaded(totals);
        double newOverloadedForMs = overloadedForMs + (overloaded ? stepMs : -stepMs);
        overloadedForMs = Math.max(0, Math.min(MIN_OVERLOAD_MS, newOverloadedForMs));
        if (overloaded && (capacity != UNLIMITED || overloadedForMs >= MIN_OVERLOAD_MS)) {
            overloadedAtMs = nowMs;
            measureCapacity(totals, stepMs);
        } else if (capacity != UNLIMITED) {
            growCapacity(totals, stepMs);
        }
        setThreshold(totals);
    }

    /**
     * Whether no peer is alive, or no record of one is fresh: this gateway's own record alone says
     * nothing about the fleet.
     */
    private static boolean isAlone(Membership membership) {
        return membership.aliveCount() <= 1 || membership.freshRecords().size() < 2;
    }

    private static boolean isOverloaded(FleetTotals totals) {
        return totals.demand > 0 && (isQueueing(totals) || totals.failedShare > MAX_FAILED_SHARE);
    }

    /**
     * Whether the admission queues are longer than the admitted attempts explain. Shedding shortens
     * the queues, so a threshold can't keep itself in force.
     */
    private static boolean isQueueing(FleetTotals totals) {
        double normal = NORMAL_QUEUE_TIME_S * totals.firstAttempts;
        return totals.queued > normal + QUEUE_STANDARD_DEVIATIONS * Math.sqrt(Math.max(1, normal));
    }

    private void measureCapacity(FleetTotals totals, double stepMs) {
        double measured = Math.min(totals.demand, totals.onTimeUnits);
        capacity =
                capacity == UNLIMITED
                        ? Math.max(measured, totals.demand / 2)
                        : capacity
                                + (measured - capacity)
                                        * Math.min(1, stepMs / CAPACITY_SMOOTHING_MS);
    }

    private void growCapacity(FleetTotals totals, double stepMs) {
        double sinceOverloadMs = updatedAtMs - overloadedAtMs;
        double previousSinceOverloadMs = Math.max(0, sinceOverloadMs - stepMs);
        double doublings =
                (sinceOverloadMs * sinceOverloadMs
                                - previousSinceOverloadMs * previousSinceOverloadMs)
                        / (windowMs * windowMs);
        capacity =
                Math.max(capacity, totals.demand / MIN_CAPACITY_DIVISOR) * Math.pow(2, doublings);
        if (capacity > REMOVAL_CAPACITY_RATIO * totals.demand) {
            capacity = UNLIMITED;
            removedAtMs = updatedAtMs;
        }
    }

    /** Moves the estimate towards the median of the estimates that the gateways report. */
    private void moveTowardsMedian(Membership membership, double stepMs) {
        double median = medianCapacity(membership);
        if (median != UNLIMITED && capacity == UNLIMITED) {
            // A joining gateway adopts the median. A gateway that has just removed its threshold
            // does not: the records of its peers may still be older than that.
            capacity = updatedAtMs - removedAtMs > windowMs ? median : UNLIMITED;
        } else if (median != UNLIMITED) {
            capacity *= Math.pow(median / capacity, Math.min(1, stepMs / MEDIAN_SMOOTHING_MS));
        } else if (capacity != UNLIMITED) {
            capacity *= 1 + stepMs / MEDIAN_SMOOTHING_MS;
        }
    }

    private static double medianCapacity(Membership membership) {
        double[] reported =
                membership.freshRecords().stream()
                        .mapToDouble(record -> FleetTotals.sanitize(record.capacity))
                        .map(estimate -> estimate > 0 ? estimate : UNLIMITED)
                        .sorted()
                        .toArray();
        return reported[reported.length / 2];
    }

    /** Admits the classes with the highest weights as far as the capacity allows. */
    private void setThreshold(FleetTotals totals) {
        threshold = 0;
        shareAtThreshold = 1;
        demand = totals == null ? 0 : totals.demand;
        double remaining = capacity;
        if (remaining == UNLIMITED) {
            return;
        }
        for (int priorityClass = GossipRecord.PRIORITY_CLASSES - 1;
                priorityClass >= 0;
                priorityClass--) {
            if (totals.demandByClass[priorityClass] > remaining) {
                threshold = GossipRecord.minWeightOf(priorityClass);
                shareAtThreshold = Math.max(0, remaining / totals.demandByClass[priorityClass]);
                return;
            }
            remaining -= totals.demandByClass[priorityClass];
        }
    }
}
