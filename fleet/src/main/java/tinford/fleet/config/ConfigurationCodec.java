package tinford.fleet.config;

/**
 * Proposals, outcomes, watch messages and reports as JSON, one object each with a field {@code
 * version}. Unknown fields, a later version and whatever exceeds {@link ConfigurationLimits} are
 * refused.
 */
public final class ConfigurationCodec {
    /** The version of the JSON forms. */
    public static final int VERSION = 1;

    private ConfigurationCodec() {}

    public static byte[] encode(Proposal proposal) {
        throw new UnsupportedOperationException();
    }

    public static Proposal decodeProposal(byte[] json) throws InvalidConfiguration {
        throw new UnsupportedOperationException();
    }

    public static byte[] encode(Outcome outcome) {
        throw new UnsupportedOperationException();
    }

    public static Outcome decodeOutcome(byte[] json) throws InvalidConfiguration {
        throw new UnsupportedOperationException();
    }

    /** Without a line end. */
    public static byte[] encode(WatchMessage message) {
        throw new UnsupportedOperationException();
    }

    public static WatchMessage decodeWatchMessage(byte[] json) throws InvalidConfiguration {
        throw new UnsupportedOperationException();
    }

    public static byte[] encode(FollowerReport report) {
        throw new UnsupportedOperationException();
    }

    public static FollowerReport decodeReport(byte[] json) throws InvalidConfiguration {
        throw new UnsupportedOperationException();
    }
}
