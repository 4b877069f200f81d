package tinford.fleet.config;

/** Bounds on sizes and counts; data that exceeds one is rejected. */
public final class ConfigurationLimits {
    public static final int MAX_SERVICES = 4_096;
    public static final int MAX_ROUTES = 16_384;
    public static final int MAX_PLANS = 1_024;
    public static final int MAX_TENANTS = 65_536;

    /** Characters in a name or an id. */
    public static final int MAX_NAME_LENGTH = 64;

    /** Characters in a text, such as a follower's rejection reason. */
    public static final int MAX_TEXT_LENGTH = 512;

    /** Changes in one change set. */
    public static final int MAX_CHANGES = 16_384;

    /** Bytes of an encoded proposal; an entry of the replicated log holds at most 512 KiB. */
    public static final int MAX_PROPOSAL_BYTES = 500_000;

    /** Bytes of one line of a watch. */
    public static final int MAX_LINE_BYTES = 16 << 20;

    /** Bytes of an encoded snapshot before compression. */
    public static final int MAX_SNAPSHOT_BYTES = 48 << 20;

    /** Bytes of an encoded outcome of a proposal. */
    public static final int MAX_OUTCOME_BYTES = 256 << 10;

    /** Bytes of an encoded follower report. */
    public static final int MAX_REPORT_BYTES = 4_096;

    /** Levels of nested JSON objects and arrays. */
    public static final int MAX_NESTING_DEPTH = 16;

    /** Validation errors reported for one proposal. */
    public static final int MAX_ERRORS = 20;

    /** Updates retained by a history. */
    public static final int MAX_RETAINED_UPDATES = 4_096;

    /** Bytes of encoded updates retained by a history. */
    public static final int MAX_RETAINED_BYTES = 8 << 20;

    /** Proposals whose outcome is retained by a history. */
    public static final int MAX_RETAINED_PROPOSALS = 4_096;

    /** Approximate number of characters in the retained outcomes of proposals. */
    public static final int MAX_RETAINED_PROPOSAL_CHARACTERS = 4 << 20;

    /** The largest value of a numeric field. */
    public static final double MAX_NUMBER = 1e12;

    /** The largest value of a duration field: one day. */
    public static final double MAX_DURATION_MS = 86_400_000;

    private ConfigurationLimits() {}
}
