package tinford.lab.control;

/** Kinds of lines in the histories of a control run, and the names of their fields. */
final class Events {
    /** The operator sends a change set: {@link #ID}. */
    static final String ENTERED = "entered";

    /** It was acknowledged: {@link #ID}, {@link #REVISION}. */
    static final String ACCEPTED = "accepted";

    /** It was refused whole: {@link #ID}, {@link #WHY}. */
    static final String REFUSED = "refused";

    /** No server took it for good, it is sent again: {@link #ID}, {@link #WHY}. */
    static final String TRIED = "tried";

    /** A follower's life begins: {@link #FOLLOWER}, {@link #REGION}, {@link #DISK}. */
    static final String STARTED = "follower started";

    /** A follower's life ends: {@link #FOLLOWER}. */
    static final String STOPPED = "follower stopped";

    /** A follower's content is now that of {@link #REVISION}: {@link #HASH}. */
    static final String APPLIED = "applied";

    /** A follower refuses {@link #REVISION} and keeps what it has: {@link #WHY}. */
    static final String NOT_APPLIED = "not applied";

    /** What a follower holds at {@link #REVISION}, read entry by entry: {@link #DIGEST}. */
    static final String CONTENT = "content";

    /**
     * What the acknowledged change sets come to at {@link #REVISION}: {@link #HASH}, at the end
     * {@link #DIGEST}.
     */
    static final String REFERENCE = "reference";

    /** {@link #REGION} is cut off from the others, and joined again. */
    static final String CUT = "region cut";

    static final String JOINED = "region joined";

    /** Something was done to a control server: {@link #SERVER}, {@link #WHAT}. */
    static final String FAULT = "fault";

    /** A control server tells its state at the end: {@link #SERVER}, {@link #REVISION}. */
    static final String SERVER_HOLDS = "server holds";

    /** Changes have ended and had their time; everyone should hold the last one. */
    static final String SETTLED = "settled";

    static final String ID = "id";
    static final String REVISION = "revision";
    static final String FOLLOWER = "follower";
    static final String REGION = "region";
    static final String DISK = "disk";
    static final String DISK_KEPT = "kept";
    static final String DISK_LOST = "lost";
    static final String HASH = "hash";
    static final String DIGEST = "digest";
    static final String WHY = "why";
    static final String SERVER = "server";
    static final String WHAT = "what";

    private Events() {}
}
