package tinford.api;

/** The servers that drop repeats of a req with an idempotency key. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}
