package tinford.routing.dispatch;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.Set;

/**
 * Logs warnings about peers, at most once a minute for the same event and cause, since a faulty
 * peer may cause one with every request. If several peers cause the same warning, only the first of
 * them is logged.
 */
final class RateLimitedWarnings {
    private static final int MAX_DISTINCT_WARNINGS = 100;
    private static final double REPEAT_INTERVAL_MS = 60_000;
    private final Logger logger;
    private final Set<String> logged = new HashSet<>();
    private double intervalStartMs;

    RateLimitedWarnings(Logger logger) {
        this.logger = logger;
    }

    /**
     * @param subject the peer or object concerned, as {@code key=value}, or empty; warnings that
     *     differ only in the subject count as the same
     */
    void log(double nowMs, String event, String subject, Exception cause) {
        if (nowMs - intervalStartMs > REPEAT_INTERVAL_MS) {
            logged.clear();
            intervalStartMs = nowMs;
        }
        String message = cause.getMessage();
        if (logged.size() < MAX_DISTINCT_WARNINGS && logged.add(event + message)) {
            String subjectSuffix = subject.isEmpty() ? "" : " " + subject;
            logger.log(Level.WARNING, event + subjectSuffix + " error=\"" + message + "\"");
        }
    }
}
