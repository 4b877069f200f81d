package tinford.fleet.config;

/** The result of applying a configuration on a follower. */
public sealed interface ApplyResult {
    /** The configuration is active. */
    record Applied() implements ApplyResult {}

    /**
     * The configuration can't be applied; the previous one stays active.
     *
     * @param reason the key and what was expected there, in one line
     */
    record Rejected(String reason) implements ApplyResult {}
}
