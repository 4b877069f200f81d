package tinford.fleet.control;

import java.util.List;
import tinford.fleet.config.FollowerReport;
import tinford.fleet.config.FollowerTable;

/** What followers have reported here, with the time of this process. Thread-safe. */
final class FollowerReports {
    /** A follower that has not reported for as long is forgotten. */
    static final double EXPIRY_MS = 60_000;

    private final FollowerTable table;

    FollowerReports(int capacity) {
        table = new FollowerTable(capacity, EXPIRY_MS);
    }

    static double now() {
        return System.nanoTime() / 1e6;
    }

    /** False when the table is full of others. */
    synchronized boolean report(FollowerReport report) {
        return table.report(report, now());
    }

    synchronized List<FollowerTable.Entry> entries() {
        return table.entries(now());
    }
}
