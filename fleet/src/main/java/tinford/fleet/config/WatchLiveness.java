package tinford.fleet.config;

/** Tracks when a follower last received data over its watch. Not thread-safe. */
final class WatchLiveness {
    private double openedAtMs;
    private double receivedAtMs;
    private double lineEndedAtMs;

    void watchOpened(double nowMs) {
        openedAtMs = nowMs;
        lineReceived(nowMs);
    }

    void lineReceived(double nowMs) {
        receivedAtMs = nowMs;
        lineEndedAtMs = nowMs;
    }

    /** Keeps the watch alive until the line has taken {@link Follower#LINE_TIMEOUT_MS}. */
    void partialLineReceived(double nowMs) {
        if (nowMs - lineEndedAtMs < Follower.LINE_TIMEOUT_MS) {
            receivedAtMs = nowMs;
        }
    }

    boolean isSilent(double nowMs) {
        return nowMs - receivedAtMs >= Follower.HEARTBEAT_TIMEOUT_MS;
    }

    /** Whether the watch has been open long enough for its server to count as healthy. */
    boolean isStable(double nowMs) {
        return nowMs - openedAtMs >= Follower.STABLE_WATCH_MS;
    }
}
