package tinford.fleet.config;

/** What became of a configuration that a follower was to bring into force. */
public sealed interface ApplyResult {
    /** The configuration is in force. */
    record Applied() implements ApplyResult {}

    /**
     * The configuration can't be brought into force; the one before stays.
     *
     * @param reason the key and what was expected there, in one line
     */
    record Rejected(String reason) implements ApplyResult {}
}
