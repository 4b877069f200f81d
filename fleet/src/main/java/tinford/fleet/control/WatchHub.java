package tinford.fleet.control;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The watches that are open: one a follower, {@code capacity} at most. Wakes all of them when there
 * is a new revision. Thread-safe.
 */
final class WatchHub {
    private final Map<String, WatchResponseStream> streams = new ConcurrentHashMap<>();
    private final int capacity;

    WatchHub(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Takes in a watch, in place of an earlier one of the same follower.
     *
     * @return false when there are too many
     */
    boolean add(WatchResponseStream stream) {
        String follower = stream.request().follower();
        WatchResponseStream earlier;
        synchronized (this) {
            if (streams.size() >= capacity && !streams.containsKey(follower)) {
                return false;
            }
            earlier = streams.put(follower, stream);
        }
        if (earlier != null) {
            earlier.closeAsync();
        }
        return true;
    }

    void remove(WatchResponseStream stream) {
        streams.remove(stream.request().follower(), stream);
    }

    void wakeAll() {
        streams.values().forEach(WatchResponseStream::wake);
    }

    void closeAll() {
        streams.values().forEach(WatchResponseStream::closeAsync);
    }

    Set<String> followers() {
        return Set.copyOf(streams.keySet());
    }

    int size() {
        return streams.size();
    }

    /**
     * Bytes of lines that followers have not taken in yet; lines that they share count for each.
     */
    long pendingBytes() {
        return streams.values().stream().mapToLong(WatchResponseStream::pendingBytes).sum();
    }
}
