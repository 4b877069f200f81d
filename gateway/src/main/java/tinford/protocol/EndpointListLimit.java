package tinford.protocol;

/**
 * The maximum length of an endpoint list, derived from the heap size. Reading a list takes about
 * eight times the size of its text, so a limit of 1/32 of the heap leaves three quarters of the
 * heap for everything else.
 */
public final class EndpointListLimit {
    private static final long HEAP_DIVISOR = 32;
    private static final long MIN_LIMIT_BYTES = 1 << 20;
    private static final long MAX_LIMIT_BYTES = 16 << 20;

    private EndpointListLimit() {}

    /** The limit for a heap of that size, between 1 and 16 MiB. */
    public static int maxBytes(long heapBytes) {
        long limit = heapBytes / HEAP_DIVISOR;
        return (int) Math.max(MIN_LIMIT_BYTES, Math.min(MAX_LIMIT_BYTES, limit));
    }
}
