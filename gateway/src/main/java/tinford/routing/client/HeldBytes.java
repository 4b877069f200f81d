package tinford.routing.client;

/**
 * The bytes that requests hold on the heap, within one limit: their commands, responses that wait
 * for earlier ones, and buffers reserved for long commands that are still arriving. A reserved
 * buffer becomes the command that arrived in it, so that each long command counts once.
 */
final class HeldBytes {
    private final long limitBytes;
    private long heldBytes;
    private long reservedBytes;

    HeldBytes(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Counts bytes of commands and responses, or no longer if below 0. */
    void add(long bytes) {
        heldBytes += bytes;
    }

    /**
     * Reserves a buffer for a long command. Commands that are still arriving may take half of the
     * limit, and one may take more, as those that are complete need their place too.
     *
     * @return whether the limit has room for it now
     */
    boolean tryReserve(int bytes) {
        boolean fits = heldBytes + reservedBytes + bytes <= limitBytes;
        if (!fits || reservedBytes > 0 && reservedBytes + bytes > limitBytes / 2) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    void releaseReserved(int bytes) {
        reservedBytes -= bytes;
    }

    boolean isExceeded() {
        return heldBytes + reservedBytes > limitBytes;
    }
}
