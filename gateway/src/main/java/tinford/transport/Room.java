package tinford.transport;

/**
 * The bytes that all buffers together may take. It may be overdrawn for a moment: who did so gives
 * all back.
 */
public final class Room {
    private final long all;
    private long left;

    public Room(long bytes) {
        all = bytes;
        left = bytes;
    }

    public void take(long bytes) {
        left -= bytes;
    }

    public void give(long bytes) {
        left += bytes;
    }

    public boolean overdrawn() {
        return left < 0;
    }

    /** Little is left: whoever can leave bytes where they come from does. */
    public boolean tight() {
        return left < all / 4;
    }

    long left() {
        return left;
    }
}
