package tinford.transport;

/**
 * The bytes that the buffers of all connections may take together. A reservation never fails: a
 * connection that finds the budget exceeded closes itself and so releases its part.
 */
public final class BufferBudget {
    /** Below this part of the limit the budget counts as nearly exhausted. */
    private static final int NEARLY_EXHAUSTED_DIVISOR = 4;

    private final long limitBytes;
    private long availableBytes;

    public BufferBudget(long limitBytes) {
        this.limitBytes = limitBytes;
        this.availableBytes = limitBytes;
    }

    public void reserve(long bytes) {
        availableBytes -= bytes;
    }

    public void release(long bytes) {
        availableBytes += bytes;
    }

    public boolean isExceeded() {
        return availableBytes < 0;
    }

    /** Whether input should be left in the sockets wherever that is possible. */
    public boolean isNearlyExhausted() {
        return availableBytes < limitBytes / NEARLY_EXHAUSTED_DIVISOR;
    }

    long availableBytes() {
        return availableBytes;
    }
}
