package tinford.fleet.overload;

import java.util.Arrays;
import tinford.api.AttemptOutcome;
import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Incarnation;

/**
 * What this gateway itself observed over the last second, in a ring of time buckets. Not
 * thread-safe.
 */
public final class LocalStatistics {
    private static final int BUCKETS = 5;
    private static final double BUCKET_MS = 200;
    private static final double MS_PER_SECOND = 1000;

    /** The counters of each bucket. */
    private enum Counter {
        FIRST_ATTEMPTS,
        RETRIES,
        ON_TIME,
        LATE,
        FAILED,
        ON_TIME_UNITS
    }

    private final double[][] offeredUnits = new double[BUCKETS][GossipRecord.PRIORITY_CLASSES];
    private final double[][] rejectedUnits = new double[BUCKETS][GossipRecord.PRIORITY_CLASSES];
    private final double[][] counts = new double[BUCKETS][Counter.values().length];
    private final long firstBucket;
    private final double startedAtMs;
    private long currentBucket;
    private double nowMs;
    private int inFlight;
    private int queued;

    public LocalStatistics(double nowMs) {
        this.nowMs = nowMs;
        startedAtMs = nowMs;
        firstBucket = (long) Math.floor(nowMs / BUCKET_MS);
        currentBucket = firstBucket;
    }

    /** Advances the time and clears the buckets whose time has passed. */
    public void advance(double toMs) {
        nowMs = Math.max(nowMs, toMs);
        long next = (long) Math.floor(nowMs / BUCKET_MS);
        currentBucket = Math.max(currentBucket, next - BUCKETS);
        while (currentBucket < next) {
            currentBucket++;
            Arrays.fill(offeredUnits[bucketIndex()], 0);
            Arrays.fill(rejectedUnits[bucketIndex()], 0);
            Arrays.fill(counts[bucketIndex()], 0);
        }
    }

    /** To be called when a request within its quota has arrived. */
    public void requestOffered(double units, double weight) {
        offeredUnits[bucketIndex()][GossipRecord.priorityClassOf(weight)] += units;
        queued++;
    }

    /** To be called when an offered request has ended without any attempt. */
    public void requestRejected(double units, double weight) {
        rejectedUnits[bucketIndex()][GossipRecord.priorityClassOf(weight)] += units;
        queued = Math.max(0, queued - 1);
    }

    /** To be called when a first attempt or a retry was sent. */
    public void attemptSent(boolean retry) {
        count(retry ? Counter.RETRIES : Counter.FIRST_ATTEMPTS, 1);
        inFlight++;
        if (!retry) {
            queued = Math.max(0, queued - 1);
        }
    }

    /**
     * To be called when an attempt has ended.
     *
     * @param late whether it ended after the latency objective
     */
    public void attemptEnded(double units, AttemptOutcome outcome, boolean late) {
        inFlight = Math.max(0, inFlight - 1);
        switch (outcome) {
            case SUCCESS -> {
                count(late ? Counter.LATE : Counter.ON_TIME, 1);
                if (!late) {
                    count(Counter.ON_TIME_UNITS, units);
                }
            }
            case TIMED_OUT -> count(Counter.LATE, 1);
            case ERROR, CONNECTION_LOST, OVERLOADED -> count(Counter.FAILED, 1);
            default -> {
                // Failing to reach one server says nothing about the capacity of the others.
            }
        }
    }

    /** Returns the current record. Offered units that were not rejected count as admitted. */
    public GossipRecord record(Incarnation incarnation, int sequence) {
        GossipRecord record = new GossipRecord(incarnation, sequence);
        double seconds = coveredMs() / MS_PER_SECOND;
        for (int priorityClass = 0;
                priorityClass < GossipRecord.PRIORITY_CLASSES;
                priorityClass++) {
            double offered = 0;
            double rejected = 0;
            for (int bucket = 0; bucket < BUCKETS; bucket++) {
                offered += offeredUnits[bucket][priorityClass];
                rejected += rejectedUnits[bucket][priorityClass];
            }
            record.offeredUnits[priorityClass] = offered / seconds;
            record.admittedUnits[priorityClass] = Math.max(0, offered - rejected) / seconds;
        }
        record.firstAttempts = sum(Counter.FIRST_ATTEMPTS) / seconds;
        record.retries = sum(Counter.RETRIES) / seconds;
        record.onTime = sum(Counter.ON_TIME) / seconds;
        record.late = sum(Counter.LATE) / seconds;
        record.failed = sum(Counter.FAILED) / seconds;
        record.onTimeUnits = sum(Counter.ON_TIME_UNITS) / seconds;
        record.inFlight = inFlight;
        record.queued = queued;
        return record;
    }

    /**
     * The time that the buckets cover, the current one in part. At least the length of one bucket:
     * otherwise the first request after the start would be reported as a very high rate.
     */
    private double coveredMs() {
        double covered =
                Math.min(
                        nowMs - startedAtMs,
                        (BUCKETS - 1) * BUCKET_MS + nowMs - currentBucket * BUCKET_MS);
        return Math.max(BUCKET_MS, currentBucket == firstBucket ? BUCKET_MS : covered);
    }

    private int bucketIndex() {
        return Math.floorMod(currentBucket, BUCKETS);
    }

    private void count(Counter counter, double amount) {
        counts[bucketIndex()][counter.ordinal()] += amount;
    }

    private double sum(Counter counter) {
        double sum = 0;
        for (double[] bucket : counts) {
            sum += bucket[counter.ordinal()];
        }
        return sum;
    }
}
