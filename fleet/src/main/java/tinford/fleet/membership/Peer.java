package tinford.fleet.membership;

/** What a gateway knows about one of its peers. Times are in ms of the local clock. */
final class Peer {
    /**
     * The peer's start time is estimated from the shortest message delay in the current and the
     * previous window of this length. After a clock was adjusted or stopped, the estimate is
     * correct again once both windows have passed.
     */
    private static final double START_ESTIMATE_WINDOW_MS = 10_000;

    private Incarnation incarnation;
    private int sequence;
    private byte[] encoded;
    private double createdMs;
    private double lastAliveMs = Double.NEGATIVE_INFINITY;

    /** Until this time the peer counts as alive even if nothing is received from it. */
    private double presumedAliveUntilMs = Double.NEGATIVE_INFINITY;

    /** Earliest start of the peer's process that any record of the current window implied. */
    private double minStartMs;

    /** The same for the previous window. */
    private double previousMinStartMs;

    private double windowBeganMs;

    /** How often the current record was forwarded. */
    private int recordForwards;

    /** How often records of the current incarnation were forwarded. */
    private int incarnationForwards;

    /** How often the heartbeat for the current {@link #lastAliveMs} was forwarded. */
    private int heartbeatForwards;

    private double lastForwardMs;
    private long lastMessageNumber;

    /**
     * @param createdMs local time at which the peer created the record
     */
    Peer(GossipCodec.Received first, double createdMs, double nowMs) {
        minStartMs = createdMs - first.uptimeMs();
        previousMinStartMs = minStartMs;
        windowBeganMs = nowMs;
        replaceRecord(first, createdMs);
    }

    void replaceRecord(GossipCodec.Received received, double newCreatedMs) {
        incarnation = received.record().incarnation;
        sequence = received.record().sequence;
        encoded = received.encoded();
        createdMs = newCreatedMs;
        recordForwards = 0;
        updateLastAlive(newCreatedMs);
    }

    /** Records proof that the peer was alive at a time. */
    void updateLastAlive(double atMs) {
        if (atMs > lastAliveMs) {
            lastAliveMs = atMs;
            heartbeatForwards = 0;
        }
    }

    void presumeAliveUntil(double untilMs) {
        presumedAliveUntilMs = untilMs;
    }

    /**
     * Updates the estimate of the peer's start time with the one that a record implies.
     *
     * @param mayStartWindow whether a new window may begin; false right after this process was
     *     suspended, when all delays are too long
     * @return the new estimate, as by {@link #estimatedStartMs}
     */
    double updateStartEstimate(double apparentStartMs, double nowMs, boolean mayStartWindow) {
        if (nowMs - windowBeganMs > START_ESTIMATE_WINDOW_MS && mayStartWindow) {
            previousMinStartMs = minStartMs;
            minStartMs = apparentStartMs;
            windowBeganMs = nowMs;
        }
        minStartMs = Math.min(minStartMs, apparentStartMs);
        return estimatedStartMs();
    }

    /** Estimated start of the peer's process, from the recent record with the shortest delay. */
    double estimatedStartMs() {
        return Math.min(minStartMs, previousMinStartMs);
    }

    Incarnation incarnation() {
        return incarnation;
    }

    boolean isOlderThan(GossipRecord record) {
        return record.sequence - sequence > 0;
    }

    /** The current record; decoded on each call, as the encoded form takes less memory. */
    GossipRecord record() {
        return GossipRecordCodec.decode(encoded);
    }

    /** The current record as received. */
    byte[] encoded() {
        return encoded;
    }

    /** Local time at which the peer created the current record. */
    double createdMs() {
        return createdMs;
    }

    /** The latest time at which the peer is known to have been alive. */
    double lastAliveMs() {
        return lastAliveMs;
    }

    boolean isAlive(double nowMs, double suspectAfterMs) {
        return nowMs - lastAliveMs <= suspectAfterMs || nowMs < presumedAliveUntilMs;
    }

    int recordForwards() {
        return recordForwards;
    }

    int incarnationForwards() {
        return incarnationForwards;
    }

    int heartbeatForwards() {
        return heartbeatForwards;
    }

    double lastForwardMs() {
        return lastForwardMs;
    }

    /** Whether the peer's record was already added to the message with this number. */
    boolean isIncludedIn(long messageNumber) {
        return lastMessageNumber == messageNumber;
    }

    void countRecordForward(long messageNumber, double nowMs) {
        recordForwards++;
        incarnationForwards++;
        lastForwardMs = nowMs;
        lastMessageNumber = messageNumber;
    }

    void countHeartbeatForward() {
        heartbeatForwards++;
    }
}
