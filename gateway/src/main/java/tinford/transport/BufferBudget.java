package tinford.transport;

/**
 * The limit on the bytes that the buffers of all connections may use together. A reservation never
 * fails: a connection that finds the budget exceeded closes itself, which releases its bytes.
 */
public final class BufferBudget {
    /** The budget is nearly exhausted when less than the limit divided by this is available. */
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

    /** Whether input should be left in the sockets where possible. */
    public boolean isNearlyExhausted() {
        return availableBytes < limitBytes / NEARLY_EXHAUSTED_DIVISOR;
    }

    long availableBytes() {
        return availableBytes;
    }
}
