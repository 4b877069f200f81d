package tinford.transport;

/**
 * The bytes that all buffers together may take. It may be overdrawn for a moment: who did so gives
 * all back.
 */
public final class BufferBudget {
    private final long all;
    private long left;

    public BufferBudget(long bytes) {
        all = bytes;
        left = bytes;
    }

    public void reserve(long bytes) {
        left -= bytes;
    }

    public void release(long bytes) {
        left += bytes;
    }

    public boolean isExceeded() {
        return left < 0;
    }

    /** Little is left: whoever can leave bytes where they come from does. */
    public boolean isNearlyExhausted() {
        return left < all / 4;
    }

    long left() {
        return left;
    }
}
