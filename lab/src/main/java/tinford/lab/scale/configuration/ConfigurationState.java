package tinford.lab.scale.configuration;

/** One configuration of a given size and the work that is done on it. */
public interface ConfigurationState {
    /** Moves one tenant to another plan: validates and makes the next revision. */
    void changeTenant();

    /** Removes a plan that no tenant uses: looks at all tenants. */
    void removePlan();

    /** Validates all of it. */
    void validateWhole();

    /** Bytes of the update line that moves one tenant. */
    int updateLineBytes();

    /** Encodes the whole as a compressed snapshot. */
    byte[] encodeSnapshot();

    /** Decodes and validates a snapshot; the result is held until the next one. */
    void decodeSnapshot(byte[] snapshot);
}
