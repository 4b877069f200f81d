package tinford.fleet.membership;

/** What a gateway knows of another one. Times are by the own clock. */
final class Peer {
    /**
     * The quickest way is that of the last one or two of these, ms: a clock that stood still is
     * followed by then.
     */
    private static final double QUICKEST_OVER = 10_000;

    private Incarnation incarnation;
    private int seq;
    private byte[] raw;
    private double made;
    private double alive = Double.NEGATIVE_INFINITY;

    /** Counted as living until then even if nothing is heard: the own process was stopped. */
    private double grantedUntil = Double.NEGATIVE_INFINITY;

    /**
     * When its owner's process started, by the quickest way: over the present time and the one
     * before.
     */
    private double start;

    private double startBefore;
    private double startSince;

    /** How often this record, any of this incarnation's, and this heartbeat were told. */
    private int recordTold;

    private int incarnationTold;
    private int heartbeatTold;

    /** When a record was told last, and in which message. */
    private double lastTold;

    private long lastMessage;

    /**
     * @param made when its owner made the record that came first
     */
    Peer(GossipCodec.Received first, double made, double now) {
        start = made - first.madeAtMs();
        startBefore = start;
        startSince = now;
        keep(first, made);
    }

    /** The newest record. */
    void keep(GossipCodec.Received received, double madeAt) {
        incarnation = received.record().incarnation;
        seq = received.record().sequence;
        raw = received.encoded();
        made = madeAt;
        recordTold = 0;
        heard(madeAt);
    }

    /** It surely lived then. */
    void heard(double aliveAt) {
        if (aliveAt > alive) {
            alive = aliveAt;
            heartbeatTold = 0;
        }
    }

    void grantUntil(double until) {
        grantedUntil = until;
    }

    /**
     * When its process started, as the quickest of its records of late tell.
     *
     * @param told as the present one tells
     * @param awake whether the own process has not just been stopped
     */
    double quickestStart(double told, double now, boolean awake) {
        if (now - startSince > QUICKEST_OVER && awake) {
            startBefore = start;
            start = told;
            startSince = now;
        }
        start = Math.min(start, told);
        return start();
    }

    double start() {
        return Math.min(start, startBefore);
    }

    Incarnation incarnation() {
        return incarnation;
    }

    boolean isOlderThan(GossipRecord record) {
        return record.sequence - seq > 0;
    }

    /** Read again where it is asked for: as bytes it takes less room than its 59 numbers. */
    GossipRecord record() {
        return GossipCodec.decode(raw);
    }

    /** The record as it came. */
    byte[] raw() {
        return raw;
    }

    /** When its owner made the record. */
    double made() {
        return made;
    }

    /** When it surely lived: then or later. */
    double alive() {
        return alive;
    }

    boolean lives(double now, double suspectAfter) {
        return now - alive <= suspectAfter || now < grantedUntil;
    }

    int recordTold() {
        return recordTold;
    }

    int incarnationTold() {
        return incarnationTold;
    }

    int heartbeatTold() {
        return heartbeatTold;
    }

    double lastTold() {
        return lastTold;
    }

    boolean isIn(long message) {
        return lastMessage == message;
    }

    void recordTold(long message, double now) {
        recordTold++;
        incarnationTold++;
        lastTold = now;
        lastMessage = message;
    }

    void heartbeatWasTold() {
        heartbeatTold++;
    }
}
