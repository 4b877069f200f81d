package tinford.fleet.config;

import java.util.Set;

/**
 * Encodes and decodes a whole configuration as compressed JSON in a {@link ChecksummedEnvelope},
 * which also contains the fleet id and the revision.
 */
public final class SnapshotCodec {
    private static final int CONTENT_VERSION = 1;
    private static final Set<String> KEYS =
            JsonObjectReader.keys("version", "revision", "services", "plans", "routes", "tenants");

    private final String fleetId;

    /**
     * Creates a codec for the snapshots of one fleet.
     *
     * @throws IllegalArgumentException if the fleet id is not a valid name
     */
    public SnapshotCodec(String fleetId) {
        if (!RecordChecks.isName(fleetId)) {
            throw new IllegalArgumentException("fleet id: expected " + RecordChecks.EXPECTED_NAME);
        }
        this.fleetId = fleetId;
    }

    /** Encodes a configuration. */
    public byte[] encode(Configuration configuration) {
        byte[] json =
                Json.write(
                        CONTENT_VERSION, out -> ConfigurationJson.writeFields(out, configuration));
        return ChecksummedEnvelope.encode(
                ChecksummedEnvelope.Kind.CONFIGURATION, fleetId, configuration.revision(), json);
    }

    /**
     * Decodes a snapshot and validates its configuration.
     *
     * @throws InvalidConfigurationException if the snapshot is truncated, corrupted, of another
     *     fleet or of a later format, or its configuration is invalid
     */
    public Configuration decode(byte[] snapshot) throws InvalidConfigurationException {
        ChecksummedEnvelope.Decoded decoded =
                ChecksummedEnvelope.decode(
                        ChecksummedEnvelope.Kind.CONFIGURATION, fleetId, snapshot);
        JsonObjectReader object =
                Json.read(
                        decoded.content(), CONTENT_VERSION, ConfigurationLimits.MAX_SNAPSHOT_BYTES);
        object.allowOnly(KEYS);
        Configuration configuration = ConfigurationJson.read(object);
        if (configuration.revision() != decoded.revision()) {
            throw object.invalid("revision", "the revision of the envelope, " + decoded.revision());
        }
        return configuration;
    }
}
