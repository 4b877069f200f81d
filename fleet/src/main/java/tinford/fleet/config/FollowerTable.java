package tinford.fleet.config;

import java.util.List;
import java.util.SortedMap;

/** Which follower holds which revision, as last reported. Bounded; entries expire. */
public final class FollowerTable {
    /** A report and when it came, ms. */
    public record Entry(FollowerReport report, double reportedAt) {}

    /**
     * @param capacity followers held at most
     * @param expiryMs how long a follower is held without a report
     */
    public FollowerTable(int capacity, double expiryMs) {}

    /** Takes a report; false when the table is full of others. */
    public boolean report(FollowerReport report, double now) {
        throw new UnsupportedOperationException();
    }

    /** All that have not expired, by follower. */
    public List<Entry> entries(double now) {
        throw new UnsupportedOperationException();
    }

    /** Those that hold an earlier revision, by follower. */
    public List<Entry> lagging(long revision, double now) {
        throw new UnsupportedOperationException();
    }

    /** How many followers hold which revision. */
    public SortedMap<Long, Integer> countByRevision(double now) {
        throw new UnsupportedOperationException();
    }
}
