package tinford.fleet.config;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The latest report of each follower. Bounded; entries expire. Times are in ms on any steady clock.
 * Not thread-safe.
 */
public final class FollowerTable {
    /** A report and the time when it was received, in ms. */
    public record Entry(FollowerReport report, double reportedAtMs) {}

    private final int capacity;
    private final double expiryMs;
    private final SortedMap<String, Entry> byFollower = new TreeMap<>();

    /**
     * @param capacity the largest number of followers
     * @param expiryMs how long a report is kept unless a later one replaces it
     */
    public FollowerTable(int capacity, double expiryMs) {
        if (capacity < 1 || !(expiryMs > 0)) {
            throw new IllegalArgumentException("expected capacity >= 1 and expiryMs > 0");
        }
        this.capacity = capacity;
        this.expiryMs = expiryMs;
    }

    /** Stores a report; false if the table is full of other followers. */
    public boolean report(FollowerReport report, double nowMs) {
        if (byFollower.size() >= capacity && !byFollower.containsKey(report.follower())) {
            expire(nowMs);
            if (byFollower.size() >= capacity) {
                return false;
            }
        }
        byFollower.put(report.follower(), new Entry(report, nowMs));
        return true;
    }

    /** All entries that have not expired, by follower. */
    public List<Entry> entries(double nowMs) {
        expire(nowMs);
        return List.copyOf(byFollower.values());
    }

    /** The entries with an earlier revision, by follower. */
    public List<Entry> lagging(long revision, double nowMs) {
        List<Entry> lagging = new ArrayList<>();
        for (Entry entry : entries(nowMs)) {
            if (entry.report().revision() < revision) {
                lagging.add(entry);
            }
        }
        return lagging;
    }

    /** How many followers hold which revision. */
    public SortedMap<Long, Integer> countByRevision(double nowMs) {
        SortedMap<Long, Integer> counts = new TreeMap<>();
        for (Entry entry : entries(nowMs)) {
            counts.merge(entry.report().revision(), 1, Integer::sum);
        }
        return counts;
    }

    private void expire(double nowMs) {
        byFollower.values().removeIf(entry -> isExpired(entry, nowMs));
    }

    private boolean isExpired(Entry entry, double nowMs) {
        return nowMs - entry.reportedAtMs() >= expiryMs;
    }
}
