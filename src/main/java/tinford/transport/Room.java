package tinford.transport;

/** The bytes that all buffers together may take. It may be overdrawn for a moment: who did so gives all back. */
public final class Room {
    private long left;

    public Room(long bytes) {
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

    long left() {
        return left;
    }
}
