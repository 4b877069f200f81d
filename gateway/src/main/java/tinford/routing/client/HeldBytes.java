package tinford.routing.client;

/**
 * Accounts for the heap memory of requests, with a single limit: commands, responses that wait for
 * earlier ones, and buffers reserved for long commands that are being received. A complete long
 * command takes over its reserved buffer, so that it is counted only once.
 */
final class HeldBytes {
    private final long limitBytes;
    private long heldBytes;
    private long reservedBytes;

    HeldBytes(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Adds bytes of commands and responses, or removes them if negative. */
    void add(long bytes) {
        heldBytes += bytes;
    }

    /**
     * Reserves a buffer for a long command. Commands that are being received may use half of the
     * limit, because complete ones need memory too; a single command may exceed that half.
     *
     * @return whether the limits allow the reservation now
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
