package tinford.fleet.follow;

import java.util.LinkedHashMap;
import java.util.Map;

/** Lets each warning pass once in a while; remembers a bounded number of them. Not thread-safe. */
final class WarningLimiter {
    private static final int MAX_REMEMBERED = 100;
    private final double intervalMs;
    private final Map<String, Double> loggedAtMs = new LinkedHashMap<>();

    /** Tells the same warning again after so long. */
    WarningLimiter(double intervalMs) {
        this.intervalMs = intervalMs;
    }

    /** Whether this one is to be told now; where more than are remembered come, it is not. */
    boolean tryAcquire(String message, double nowMs) {
        loggedAtMs.values().removeIf(at -> nowMs - at >= intervalMs);
        if (loggedAtMs.containsKey(message) || loggedAtMs.size() >= MAX_REMEMBERED) {
            return false;
        }
        loggedAtMs.put(message, nowMs);
        return true;
    }
}
