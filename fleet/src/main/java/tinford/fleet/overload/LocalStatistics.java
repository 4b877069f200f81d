package tinford.fleet.overload;

import java.util.Arrays;
import tinford.api.AttemptOutcome;
import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Incarnation;

/**
 * What this gateway saw itself over the last second, in five buckets used again in a ring: of one
 * size whatever comes.
 */
public final class LocalStatistics {
    private static final int BUCKETS = 5;
    private static final double BUCKET_MS = 200;
    private static final int FIRST = 0,
            FURTHER = 1,
            GOOD = 2,
            LATE = 3,
            FAILED = 4,
            GOOD_UNITS = 5,
            COUNTS = 6;
    private final double[][] asked = new double[BUCKETS][GossipRecord.PRIORITY_CLASSES],
            denied = new double[BUCKETS][GossipRecord.PRIORITY_CLASSES];
    private final double[][] counts = new double[BUCKETS][COUNTS];
    private final long startedTurn;
    private final double startedAt;
    private long turn;
    private double now;
    private int open, waiting;

    public LocalStatistics(double now) {
        this.now = this.startedAt = now;
        this.turn = this.startedTurn = (long) Math.floor(now / BUCKET_MS);
    }

    public void round(double at) {
        now = Math.max(now, at);
        long next = (long) Math.floor(now / BUCKET_MS);
        if (next - turn > BUCKETS) turn = next - BUCKETS;
        while (turn < next) {
            int i = Math.floorMod(++turn, BUCKETS);
            Arrays.fill(asked[i], 0);
            Arrays.fill(denied[i], 0);
            Arrays.fill(counts[i], 0);
        }
    }

    public void asked(double units, double worth) {
        asked[here()][GossipRecord.classOf(worth)] += units;
        waiting++;
    }

    /** Of those that were told as asked, and were never sent. */
    public void denied(double units, double worth) {
        denied[here()][GossipRecord.classOf(worth)] += units;
        waiting = Math.max(0, waiting - 1);
    }

    public void sent(boolean further) {
        count(further ? FURTHER : FIRST, 1);
        open++;
        if (!further) waiting = Math.max(0, waiting - 1);
    }

    public void ended(double units, AttemptOutcome how, boolean late) {
        open = Math.max(0, open - 1);
        switch (how) {
            case SUCCESS -> {
                count(late ? LATE : GOOD, 1);
                if (!late) count(GOOD_UNITS, units);
            }
            case TIMED_OUT -> count(LATE, 1);
            case ERROR, CONNECTION_LOST, OVERLOADED -> count(FAILED, 1);
            default -> {} // not reached says nothing of what the others bear, and costs no further
                // dispatch
        }
    }

    /**
     * The record of now. What of a class was neither denied nor asked for lately counts as sent.
     */
    public GossipRecord record(Incarnation incarnation, int seq) {
        GossipRecord s = new GossipRecord(incarnation, seq);
        double second = span() / 1000;
        for (int c = 0; c < GossipRecord.PRIORITY_CLASSES; c++) {
            double all = 0, not = 0;
            for (int i = 0; i < BUCKETS; i++) {
                all += asked[i][c];
                not += denied[i][c];
            }
            s.offeredUnits[c] = all / second;
            s.admittedUnits[c] = Math.max(0, all - not) / second;
        }
        s.firstAttempts = sum(FIRST) / second;
        s.retries = sum(FURTHER) / second;
        s.onTime = sum(GOOD) / second;
        s.late = sum(LATE) / second;
        s.failed = sum(FAILED) / second;
        s.onTimeUnits = sum(GOOD_UNITS) / second;
        s.inFlight = open;
        s.queued = waiting;
        return s;
    }

    /**
     * Time that the buckets cover: a part of the one that runs, and never less than one, or a first
     * request would look like a flood.
     */
    private double span() {
        double covered =
                Math.min(now - startedAt, (BUCKETS - 1) * BUCKET_MS + now - turn * BUCKET_MS);
        return Math.max(BUCKET_MS, turn == startedTurn ? BUCKET_MS : covered);
    }

    private int here() {
        return Math.floorMod(turn, BUCKETS);
    }

    private void count(int what, double amount) {
        counts[here()][what] += amount;
    }

    private double sum(int what) {
        double sum = 0;
        for (double[] c : counts) sum += c[what];
        return sum;
    }
}
