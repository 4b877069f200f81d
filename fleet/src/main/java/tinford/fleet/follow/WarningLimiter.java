package tinford.fleet.follow;

import java.util.LinkedHashMap;
import java.util.Map;

/** Lets each warning pass once in a while; remembers a bounded number of them. Not thread-safe. */
final class WarningLimiter {
    private static final int REMEMBERED = 100;
    private final double againMs;
    private final Map<String, Double> toldAt = new LinkedHashMap<>();

    /** Tells the same warning again after so long. */
    WarningLimiter(double againMs) {
        this.againMs = againMs;
    }

    /** Whether this one is to be told now; where more than are remembered come, it is not. */
    boolean mayTell(String message, double now) {
        toldAt.values().removeIf(at -> now - at >= againMs);
        if (toldAt.containsKey(message) || toldAt.size() >= REMEMBERED) {
            return false;
        }
        toldAt.put(message, now);
        return true;
    }
}
