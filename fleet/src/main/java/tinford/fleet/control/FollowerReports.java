package tinford.fleet.control;

import java.util.List;
import tinford.fleet.config.FollowerReport;
import tinford.fleet.config.FollowerTable;

/** The reports of followers to this server, on this process's clock. Thread-safe. */
final class FollowerReports {
    /** A report is kept for this time unless a later one replaces it. */
    static final double EXPIRY_MS = 60_000;

    private final FollowerTable table;

    FollowerReports(int capacity) {
        table = new FollowerTable(capacity, EXPIRY_MS);
    }

    static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /** Stores a report; false if the table is full of other followers. */
    synchronized boolean report(FollowerReport report) {
        return table.report(report, nowMs());
    }

    synchronized List<FollowerTable.Entry> entries() {
        return table.entries(nowMs());
    }
}
