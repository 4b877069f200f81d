package tinford.api;

/**
 * Whether a req may run again: anywhere; where its idempotency key drops the repeat, for a time; or
 * never.
 */
public enum Effect {
    IDEMPOTENT,
    IDEMPOTENCY_KEY,
    NON_IDEMPOTENT
}
