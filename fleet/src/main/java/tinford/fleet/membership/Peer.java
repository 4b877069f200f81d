package tinford.fleet.membership;

/** What a gateway knows about one of its peers. Times are in ms of the local clock. */
final class Peer {
    /**
     * The peer's start time is estimated from the shortest message delay in the current and the
     * previous window of this length. After a clock was adjusted or stopped, the estimate is
     * correct again once both windows have passed.
     */
    private static final double START_ESTIMATE_SPAN_MS = 10_000;

    private Incarnation incarnation;
    private int sequence;
    private byte[] encoded;
    private double madeMs;
    private double aliveMs = Double.NEGATIVE_INFINITY;

    /** Until this time the peer counts as alive even if nothing is received from it. */
    private double grantedUntilMs = Double.NEGATIVE_INFINITY;

    /** Earliest start of the peer's process that any record of the current window implied. */
    private double spanStartMs;

    /** The same for the previous window. */
    private double previousSpanStartMs;

    private double spanBeganMs;

    /** How often the current record was forwarded. */
    private int recordForwards;

    /** How often records of the current incarnation were forwarded. */
    private int incarnationForwards;

    /** How often the heartbeat for the current {@link #aliveMs} was forwarded. */
    private int heartbeatForwards;

    private double lastForwardMs;
    private long lastMessage;

    /**
     * @param madeMs local time at which the peer created the record
     */
    Peer(GossipCodec.Received first, double madeMs, double nowMs) {
        spanStartMs = madeMs - first.madeAtMs();
        previousSpanStartMs = spanStartMs;
        spanBeganMs = nowMs;
        replaceRecord(first, madeMs);
    }

    void replaceRecord(GossipCodec.Received received, double newMadeMs) {
        incarnation = received.record().incarnation;
        sequence = received.record().sequence;
        encoded = received.encoded();
        madeMs = newMadeMs;
        recordForwards = 0;
        recordAlive(newMadeMs);
    }

    /** Records proof that the peer was alive at a time. */
    void recordAlive(double atMs) {
        if (atMs > aliveMs) {
            aliveMs = atMs;
            heartbeatForwards = 0;
        }
    }

    void grantUntil(double untilMs) {
        grantedUntilMs = untilMs;
    }

    /**
     * Updates the estimate of the peer's start time with the one that a record implies.
     *
     * @param startsNewSpan whether a new window may begin; false right after this process was
     *     suspended, when all delays are too long
     * @return the new estimate, as by {@link #startMs}
     */
    double updateStart(double apparentStartMs, double nowMs, boolean startsNewSpan) {
        if (nowMs - spanBeganMs > START_ESTIMATE_SPAN_MS && startsNewSpan) {
            previousSpanStartMs = spanStartMs;
            spanStartMs = apparentStartMs;
            spanBeganMs = nowMs;
        }
        spanStartMs = Math.min(spanStartMs, apparentStartMs);
        return startMs();
    }

    /** Estimated start of the peer's process, from the recent record with the shortest delay. */
    double startMs() {
        return Math.min(spanStartMs, previousSpanStartMs);
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
    double madeMs() {
        return madeMs;
    }

    /** The latest time at which the peer is known to have been alive. */
    double aliveMs() {
        return aliveMs;
    }

    boolean isAlive(double nowMs, double suspectAfterMs) {
        return nowMs - aliveMs <= suspectAfterMs || nowMs < grantedUntilMs;
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
    boolean isIn(long message) {
        return lastMessage == message;
    }

    void recordForwarded(long message, double nowMs) {
        recordForwards++;
        incarnationForwards++;
        lastForwardMs = nowMs;
        lastMessage = message;
    }

    void heartbeatForwarded() {
        heartbeatForwards++;
    }
}
