package tinford.fleet.config;

/**
 * A whole configuration as compressed bytes that tell the fleet, the revision and a SHA-256 over
 * all of it. Bytes that are torn, damaged, of another fleet or of a later format are refused.
 */
public final class SnapshotCodec {
    private final String fleetId;

    /** For the snapshots of one fleet. */
    public SnapshotCodec(String fleetId) {
        this.fleetId = fleetId;
    }

    public byte[] encode(Configuration configuration) {
        throw new UnsupportedOperationException(fleetId);
    }

    public Configuration decode(byte[] snapshot) throws InvalidConfiguration {
        throw new UnsupportedOperationException(fleetId);
    }
}
