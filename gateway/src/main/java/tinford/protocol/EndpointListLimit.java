package tinford.protocol;

/**
 * The length limit of one endpoint list, derived from the heap. Reading a list takes about eight
 * times its text: a limit of a thirty-second of the heap leaves three quarters for all else.
 */
public final class EndpointListLimit {
    private static final long HEAP_DIVISOR = 32;
    private static final long MIN_LIMIT_BYTES = 1 << 20;
    private static final long MAX_LIMIT_BYTES = 16 << 20;

    private EndpointListLimit() {}

    /** The limit for a heap of that size: from 1 to 16 MiB. */
    public static int maxBytes(long heapBytes) {
        long limit = heapBytes / HEAP_DIVISOR;
        return (int) Math.max(MIN_LIMIT_BYTES, Math.min(MAX_LIMIT_BYTES, limit));
    }
}
