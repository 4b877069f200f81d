package tinford.fleet.follow;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits how often the same warning is logged. Remembers a bounded number of warnings; while there
 * are more different ones, further ones are suppressed. Not thread-safe.
 */
final class WarningLimiter {
    private static final int MAX_REMEMBERED = 100;

    private final double intervalMs;
    private final Map<String, Double> loggedAtMs = new LinkedHashMap<>();

    /** Allows the same warning again after this interval. */
    WarningLimiter(double intervalMs) {
        this.intervalMs = intervalMs;
    }

    /** Whether to log this warning now; if so, it counts as logged. */
    boolean tryAcquire(String message, double nowMs) {
        loggedAtMs.values().removeIf(loggedAt -> nowMs - loggedAt >= intervalMs);
        if (loggedAtMs.containsKey(message) || loggedAtMs.size() >= MAX_REMEMBERED) {
            return false;
        }
        loggedAtMs.put(message, nowMs);
        return true;
    }
}
