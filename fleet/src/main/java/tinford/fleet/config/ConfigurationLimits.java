package tinford.fleet.config;

/** Bounds on sizes and counts; whatever exceeds one is refused. */
public final class ConfigurationLimits {
    public static final int SERVICES = 4_096;
    public static final int ROUTES = 16_384;
    public static final int PLANS = 1_024;
    public static final int TENANTS = 65_536;

    /** Characters of a name or an id. */
    public static final int NAME_LENGTH = 64;

    /** Characters of a text that explains, such as a follower's refusal. */
    public static final int TEXT_LENGTH = 512;

    /** Changes in one set. */
    public static final int CHANGES = 16_384;

    /** Bytes of one encoded proposal; an entry of the log holds at most 512 KiB. */
    public static final int PROPOSAL_BYTES = 500_000;

    /** Bytes of one line of a watch. */
    public static final int LINE_BYTES = 16 << 20;

    /** Bytes of an encoded snapshot before compression. */
    public static final int SNAPSHOT_BYTES = 48 << 20;

    /** Bytes of one encoded outcome of a proposal. */
    public static final int OUTCOME_BYTES = 256 << 10;

    /** Bytes of one encoded follower's report. */
    public static final int REPORT_BYTES = 4_096;

    /** Levels of nested JSON. */
    public static final int NESTING = 16;

    /** Faults told of one proposal. */
    public static final int FAULTS = 20;

    /** Updates that a history retains. */
    public static final int RETAINED_UPDATES = 4_096;

    /** Bytes of encoded updates that a history retains. */
    public static final int RETAINED_BYTES = 8 << 20;

    /** Proposal ids whose outcome a history remembers. */
    public static final int REMEMBERED_PROPOSALS = 4_096;

    /** Characters, about, of the remembered outcomes. */
    public static final int REMEMBERED_CHARACTERS = 4 << 20;

    /** The largest number that a field takes. */
    public static final double LARGEST_NUMBER = 1e12;

    /** The longest time that a field takes, ms: a day. */
    public static final double LONGEST_MS = 86_400_000;

    private ConfigurationLimits() {}
}
