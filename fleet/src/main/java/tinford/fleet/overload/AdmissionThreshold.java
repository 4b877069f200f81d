package tinford.fleet.overload;

import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Membership;

/**
 * The priority weight below which units are shed while the demand exceeds the capacity of the
 * servers. Every gateway computes it from the same gossip records.
 *
 * <p>The capacity is what the servers complete on time while they are strained. Each gateway
 * reports its estimate, and all move towards the median of the reported ones, so that gateways that
 * joined late or missed records arrive at the same threshold. Without strain the estimate grows,
 * slowly at first and then faster, until there is no threshold: whatever the demand, a threshold is
 * gone within two windows after its cause. Not thread-safe.
 */
public final class AdmissionThreshold {
    private static final double UNLIMITED = Double.POSITIVE_INFINITY;

    /** Mean queueing time that is no strain: bursts stay below it. */
    private static final double USUAL_QUEUE_TIME_S = 0.05;

    /** A queue longer than usual by this many standard deviations is strain, not chance. */
    private static final double QUEUE_STANDARD_DEVIATIONS = 3;

    /** Strain must last this long before there is a threshold: a start or a burst is shorter. */
    private static final double MIN_STRAIN_MS = 600;

    /** Share of attempts that are late or failed; above that of one unhealthy server in five. */
    private static final double MAX_FAILED_SHARE = 0.25;

    /** Smooths the estimate over several updates, or a single bad one would set it. */
    private static final double CAPACITY_SMOOTHING_MS = 400;

    /** Slower than the growth, which outdated records of the others would otherwise hold back. */
    private static final double AGREEMENT_SMOOTHING_MS = 2000;

    /** Capacity over demand from which there is no threshold: it would admit all but bursts. */
    private static final double OPEN_CAPACITY_FACTOR = 1.1;

    /** Longest time that one update accounts for. */
    private static final double MAX_STEP_MS = 1000;

    /** The growing estimate starts from at least this part of the demand. */
    private static final double MIN_CAPACITY_DIVISOR = 64;

    private static final double MIN_CAPACITY = 1e-9;

    private final double windowMs;
    private double capacity = UNLIMITED;
    private double strainedForMs;
    private double strainedAtMs;
    private double updatedAtMs = -1;
    private double openedAtMs = Double.NEGATIVE_INFINITY;
    private double threshold;
    private double shareAtThreshold = 1;
    private double demand;

    /**
     * @param windowMs without strain, a threshold is gone within two windows
     */
    public AdmissionThreshold(double windowMs) {
        this.windowMs = windowMs;
    }

    /** The priority weight below which nothing is admitted; 0 if all is. */
    public double threshold() {
        return threshold;
    }

    /** The admitted share of the priority class that begins at the threshold. */
    public double shareAtThreshold() {
        return shareAtThreshold;
    }

    /**
     * The estimated capacity of the servers in units per second, for the own record; 0 if unknown.
     */
    public double capacity() {
        return capacity == UNLIMITED ? 0 : capacity;
    }

    /** Demand over capacity; 0 without a threshold. */
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
        agree(membership, stepMs);
        boolean strained = isStrained(totals);
        double strainedForNowMs = strainedForMs + (strained ? stepMs : -stepMs);
        strainedForMs = Math.max(0, Math.min(MIN_STRAIN_MS, strainedForNowMs));
        if (strained && (capacity != UNLIMITED || strainedForMs >= MIN_STRAIN_MS)) {
            strainedAtMs = nowMs;
            measureCapacity(totals, stepMs);
        } else if (capacity != UNLIMITED) {
            growCapacity(totals, stepMs);
        }
        setThreshold(totals);
    }

    /** The own record alone says nothing about the fleet. */
    private static boolean isAlone(Membership membership) {
        return membership.aliveCount() <= 1 || membership.freshRecords().size() < 2;
    }

    private static boolean isStrained(FleetTotals totals) {
        return totals.demand > 0 && (isQueueing(totals) || totals.failedShare > MAX_FAILED_SHARE);
    }

    /** Depends on the admitted attempts: shedding shortens the queue, so it can't cause itself. */
    private static boolean isQueueing(FleetTotals totals) {
        double usual = USUAL_QUEUE_TIME_S * totals.firstAttempts;
        return totals.queued > usual + QUEUE_STANDARD_DEVIATIONS * Math.sqrt(Math.max(1, usual));
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
        double calmMs = updatedAtMs - strainedAtMs;
        double calmBeforeMs = Math.max(0, calmMs - stepMs);
        double doublings = (calmMs * calmMs - calmBeforeMs * calmBeforeMs) / (windowMs * windowMs);
        capacity =
                Math.max(capacity, totals.demand / MIN_CAPACITY_DIVISOR) * Math.pow(2, doublings);
        if (capacity > OPEN_CAPACITY_FACTOR * totals.demand) {
            capacity = UNLIMITED;
            openedAtMs = updatedAtMs;
        }
    }

    /** Moves the estimate towards the median of those that the gateways report. */
    private void agree(Membership membership, double stepMs) {
        double median = medianCapacity(membership);
        if (median != UNLIMITED && capacity == UNLIMITED) {
            // adopted by a gateway that joins, but not from older records after a threshold ended
            capacity = updatedAtMs - openedAtMs > windowMs ? median : UNLIMITED;
        } else if (median != UNLIMITED) {
            capacity *= Math.pow(median / capacity, Math.min(1, stepMs / AGREEMENT_SMOOTHING_MS));
        } else if (capacity != UNLIMITED) {
            capacity *= 1 + stepMs / AGREEMENT_SMOOTHING_MS;
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
        for (int c = GossipRecord.PRIORITY_CLASSES - 1; c >= 0; c--) {
            if (totals.demandByClass[c] > remaining) {
                threshold = GossipRecord.minWeightOf(c);
                shareAtThreshold = Math.max(0, remaining / totals.demandByClass[c]);
                return;
            }
            remaining -= totals.demandByClass[c];
        }
    }
}
