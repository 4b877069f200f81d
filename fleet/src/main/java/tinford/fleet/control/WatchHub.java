package tinford.fleet.control;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The open watches: one per follower, at most {@code capacity}. Wakes all of them when there is a
 * new revision. Thread-safe.
 */
final class WatchHub {
    private final Map<String, WatchResponseStream> streams = new ConcurrentHashMap<>();
    private final int capacity;

    WatchHub(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Adds a watch; an earlier one of the same follower is closed.
     *
     * @return false if there are too many
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

    /** Bytes of lines that followers have not accepted yet; shared lines count for each. */
    long pendingBytes() {
        return streams.values().stream().mapToLong(WatchResponseStream::pendingBytes).sum();
    }
}
