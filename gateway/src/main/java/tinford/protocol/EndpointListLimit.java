package tinford.protocol;

/**
 * How long the text of one list of servers may be, from the heap that the process has. While a list
 * is read it takes some eight times its text: a limit of a thirty-second of the heap leaves three
 * quarters for everything else.
 */
public final class EndpointListLimit {
    private static final long PART_OF_HEAP = 32;
    private static final long LEAST_BYTES = 1 << 20;
    private static final long MOST_BYTES = 16 << 20;

    private EndpointListLimit() {}

    /** For a heap of so many bytes: between 1 and 16 MiB. */
    public static int maxBytes(long heapBytes) {
        return (int) Math.max(LEAST_BYTES, Math.min(MOST_BYTES, heapBytes / PART_OF_HEAP));
    }
}
