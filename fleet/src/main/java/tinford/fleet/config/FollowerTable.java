package tinford.fleet.config;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/** Which follower holds which revision, as last reported. Bounded; entries expire. */
public final class FollowerTable {
    /** A report and when it came, ms. */
    public record Entry(FollowerReport report, double reportedAt) {}

    private final int capacity;
    private final double expiryMs;
    private final SortedMap<String, Entry> byFollower = new TreeMap<>();

    /**
     * @param capacity followers held at most
     * @param expiryMs how long a follower is held without a report
     */
    public FollowerTable(int capacity, double expiryMs) {
        if (capacity < 1 || !(expiryMs > 0)) {
            throw new IllegalArgumentException("expected capacity >= 1 and expiryMs > 0");
        }
        this.capacity = capacity;
        this.expiryMs = expiryMs;
    }

    /** Takes a report; false when the table is full of others. */
    public boolean report(FollowerReport report, double now) {
        if (byFollower.size() >= capacity && !byFollower.containsKey(report.follower())) {
            expire(now);
            if (byFollower.size() >= capacity) {
                return false;
            }
        }
        byFollower.put(report.follower(), new Entry(report, now));
        return true;
    }

    /** All that have not expired, by follower. */
    public List<Entry> entries(double now) {
        expire(now);
        return List.copyOf(byFollower.values());
    }

    /** Those that hold an earlier revision, by follower. */
    public List<Entry> lagging(long revision, double now) {
        List<Entry> lagging = new ArrayList<>();
        for (Entry entry : entries(now)) {
            if (entry.report().revision() < revision) {
                lagging.add(entry);
            }
        }
        return lagging;
    }

    /** How many followers hold which revision. */
    public SortedMap<Long, Integer> countByRevision(double now) {
        SortedMap<Long, Integer> counts = new TreeMap<>();
        for (Entry entry : entries(now)) {
            counts.merge(entry.report().revision(), 1, Integer::sum);
        }
        return counts;
    }

    private void expire(double now) {
        byFollower.values().removeIf(entry -> isExpired(entry, now));
    }

    private boolean isExpired(Entry entry, double now) {
        return now - entry.reportedAt() >= expiryMs;
    }
}
