package tinford.fleet.membership;

/** What a gateway knows of another one. Times are in ms of the own clock. */
final class Peer {
    /**
     * The shortest delay is taken over the last one or two spans of this length, so that a clock
     * that was set, or stood still, is followed by then.
     */
    private static final double START_ESTIMATE_SPAN_MS = 10_000;

    private Incarnation incarnation;
    private int sequence;
    private byte[] encoded;
    private double madeMs;
    private double aliveMs = Double.NEGATIVE_INFINITY;

    /** Counts as alive until then whatever is heard. */
    private double grantedUntilMs = Double.NEGATIVE_INFINITY;

    /** Earliest apparent start of the peer's process in the present span. */
    private double spanStartMs;

    /** The same in the span before. */
    private double previousSpanStartMs;

    private double spanBeganMs;

    /** How often this record was forwarded. */
    private int recordForwards;

    /** How often any record of this incarnation was forwarded. */
    private int incarnationForwards;

    /** How often the heartbeat of the present {@link #aliveMs} was forwarded. */
    private int heartbeatForwards;

    private double lastForwardMs;
    private long lastMessage;

    /**
     * @param madeMs when its owner made the first record
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

    /** Notes that it was surely alive at a time. */
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
     * Takes the apparent start of its process, by a record's delay, into the estimate.
     *
     * @param startsNewSpan whether a span may end now; not right after the own process was
     *     suspended
     * @return the new {@link #startMs}
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

    /** Start of its process, by the record of the shortest recent delay. */
    double startMs() {
        return Math.min(spanStartMs, previousSpanStartMs);
    }

    Incarnation incarnation() {
        return incarnation;
    }

    boolean isOlderThan(GossipRecord record) {
        return record.sequence - sequence > 0;
    }

    /** Decoded on each call, as the bytes take less memory than the record. */
    GossipRecord record() {
        return GossipRecordCodec.decode(encoded);
    }

    /** The record as received. */
    byte[] encoded() {
        return encoded;
    }

    /** When its owner made the record. */
    double madeMs() {
        return madeMs;
    }

    /** When it was surely alive last. */
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

    /** Whether its record was forwarded in that message. */
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
