package tinford.fleet.overload;

import java.util.Arrays;
import tinford.api.AttemptOutcome;
import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Incarnation;

/**
 * What this gateway observed itself over about the last second, in a ring of five buckets of
 * constant size. Times are in ms.
 */
public final class LocalStatistics {
    private static final int BUCKETS = 5;
    private static final double BUCKET_MS = 200;
    private static final double MS_PER_SECOND = 1000;

    /** Sums over one bucket of time. */
    private static final class Bucket {
        final double[] offeredUnits = new double[GossipRecord.PRIORITY_CLASSES];
        final double[] rejectedUnits = new double[GossipRecord.PRIORITY_CLASSES];
        double firstAttempts;
        double retries;
        double onTime;
        double late;
        double failed;
        double onTimeUnits;

        void clear() {
            Arrays.fill(offeredUnits, 0);
            Arrays.fill(rejectedUnits, 0);
            firstAttempts = 0;
            retries = 0;
            onTime = 0;
            late = 0;
            failed = 0;
            onTimeUnits = 0;
        }
    }

    private final Bucket[] buckets = new Bucket[BUCKETS];
    private final long firstBucket;
    private final double startedMs;
    private long currentBucket;
    private double nowMs;
    private int inFlight;
    private int queued;

    public LocalStatistics(double nowMs) {
        this.nowMs = nowMs;
        this.startedMs = nowMs;
        this.currentBucket = (long) Math.floor(nowMs / BUCKET_MS);
        this.firstBucket = currentBucket;
        Arrays.setAll(buckets, index -> new Bucket());
    }

    /** Advances the clock; it never goes back. */
    public void advance(double toMs) {
        nowMs = Math.max(nowMs, toMs);
        long next = (long) Math.floor(nowMs / BUCKET_MS);
        if (next - currentBucket > BUCKETS) {
            currentBucket = next - BUCKETS;
        }
        while (currentBucket < next) {
            currentBucket++;
            current().clear();
        }
    }

    private Bucket current() {
        return buckets[Math.floorMod(currentBucket, BUCKETS)];
    }

    /**
     * @param weight priority weight a unit
     */
    public void requestOffered(double units, double weight) {
        current().offeredUnits[GossipRecord.classOf(weight)] += units;
        queued++;
    }

    /** Counts an offered request that ended without being sent. */
    public void requestRejected(double units, double weight) {
        current().rejectedUnits[GossipRecord.classOf(weight)] += units;
        queued = Math.max(0, queued - 1);
    }

    public void attemptSent(boolean isRetry) {
        inFlight++;
        if (isRetry) {
            current().retries++;
        } else {
            current().firstAttempts++;
            queued = Math.max(0, queued - 1);
        }
    }

    /** An attempt that did not reach its server says nothing of the servers' capacity. */
    public void attemptEnded(double units, AttemptOutcome outcome, boolean late) {
        inFlight = Math.max(0, inFlight - 1);
        switch (outcome) {
            case SUCCESS -> recordSuccess(units, late);
            case TIMED_OUT -> current().late++;
            case ERROR, CONNECTION_LOST, OVERLOADED -> current().failed++;
            default -> {}
        }
    }

    private void recordSuccess(double units, boolean late) {
        if (late) {
            current().late++;
        } else {
            current().onTime++;
            current().onTimeUnits += units;
        }
    }

    /**
     * The gossip record of now. Offered units that were not rejected count as admitted, those still
     * in the queue included.
     */
    public GossipRecord record(Incarnation incarnation, int sequence) {
        GossipRecord record = new GossipRecord(incarnation, sequence);
        double seconds = coveredMs() / MS_PER_SECOND;
        for (int c = 0; c < GossipRecord.PRIORITY_CLASSES; c++) {
            double offered = 0;
            double rejected = 0;
            for (Bucket bucket : buckets) {
                offered += bucket.offeredUnits[c];
                rejected += bucket.rejectedUnits[c];
            }
            record.offeredUnits[c] = offered / seconds;
            record.admittedUnits[c] = Math.max(0, offered - rejected) / seconds;
        }
        for (Bucket bucket : buckets) {
            record.firstAttempts += bucket.firstAttempts;
            record.retries += bucket.retries;
            record.onTime += bucket.onTime;
            record.late += bucket.late;
            record.failed += bucket.failed;
            record.onTimeUnits += bucket.onTimeUnits;
        }
        record.firstAttempts /= seconds;
        record.retries /= seconds;
        record.onTime /= seconds;
        record.late /= seconds;
        record.failed /= seconds;
        record.onTimeUnits /= seconds;
        record.inFlight = inFlight;
        record.queued = queued;
        return record;
    }

    /**
     * Time that the buckets cover, with a part of the current one. Never less than one bucket, or a
     * first request would look like a flood.
     */
    private double coveredMs() {
        if (currentBucket == firstBucket) {
            return BUCKET_MS;
        }
        double ringMs = (BUCKETS - 1) * BUCKET_MS + nowMs - currentBucket * BUCKET_MS;
        return Math.max(BUCKET_MS, Math.min(nowMs - startedMs, ringMs));
    }
}
