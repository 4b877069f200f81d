package tinford.api;

/**
 * The servers among which a repeated request with the same idempotency key is dropped, seen from
 * the server that received it first.
 */
public enum DeduplicationScope {
    /** All servers. */
    ALL,
    /** The servers in the same availability zone. */
    ZONE,
    /** The servers in the same cell. */
    CELL
}
