package tinford.api;

/**
 * Whether a req may run again: anywhere; where its idempotency key drops the repeat, for a time; or
 * never.
 */
public enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENCY_KEY,
    NON_IDEMPOTENT
}
