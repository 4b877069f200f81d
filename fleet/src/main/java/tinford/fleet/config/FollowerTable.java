package tinford.fleet.config;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The latest report of each follower. The number of entries is bounded, and entries expire. Times
 * are in ms of any monotonic clock. Not thread-safe.
 */
public final class FollowerTable {
    /** A report and the time when it was received, in ms. */
    public record Entry(FollowerReport report, double reportedAtMs) {}

    private final int capacity;
    private final double expiryMs;
    private final SortedMap<String, Entry> byFollower = new TreeMap<>();

    /**
     * @param capacity the largest number of followers
     * @param expiryMs time after which a report expires unless a later one replaces it
     */
    public FollowerTable(int capacity, double expiryMs) {
        if (capacity < 1 || !(expiryMs > 0)) {
            throw new IllegalArgumentException(
                    "follower table: expected capacity >= 1 and expiryMs > 0");
        }
        this.capacity = capacity;
        this.expiryMs = expiryMs;
    }

    /** Stores a report; returns false if the table is full of reports of other followers. */
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

    /** All entries that have not expired, ordered by follower. */
    public List<Entry> entries(double nowMs) {
        expire(nowMs);
        return List.copyOf(byFollower.values());
    }

    /** The entries with an earlier revision than the given one, ordered by follower. */
    public List<Entry> lagging(long revision, double nowMs) {
        List<Entry> lagging = new ArrayList<>();
        for (Entry entry : entries(nowMs)) {
            if (entry.report().revision() < revision) {
                lagging.add(entry);
            }
        }
        return lagging;
    }

    /** The number of followers at each revision. */
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
