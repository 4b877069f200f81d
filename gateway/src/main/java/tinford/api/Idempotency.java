package tinford.api;

/** Whether a request may run more than once. */
public enum Idempotency {
    /** It may be repeated at any server. */
    IDEMPOTENT,
    /**
     * It carries an idempotency key: servers within its {@link DeduplicationScope} drop a repeat
     * for the length of the deduplication window.
     */
    IDEMPOTENCY_KEY,
    /** It may not be repeated once it may have run. */
    NON_IDEMPOTENT
}
