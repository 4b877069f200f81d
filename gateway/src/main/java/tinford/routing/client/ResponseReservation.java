package tinford.routing.client;

import tinford.transport.MemoryBudget;

/**
 * Reserves the memory of a request that is read behind unanswered ones, whose response may have to
 * be kept. Without that memory the request stays unread.
 */
final class ResponseReservation implements MemoryBudget.Waiter {
    private final ClientMemory memory;
    private final Runnable onGranted;

    /** Memory that the connection waits for, or 0. */
    private long awaitedBytes;

    /** Memory that is reserved for the next request, or 0. */
    private long grantedBytes;

    /**
     * @param onGranted called when the memory that was awaited has been reserved
     */
    ResponseReservation(ClientMemory memory, Runnable onGranted) {
        this.memory = memory;
        this.onGranted = onGranted;
    }

    /** Whether there is memory for the next request; otherwise waits until there is. */
    boolean isAvailable(long bytes) {
        if (awaitedBytes > 0) {
            return false;
        }
        boolean isGranted = grantedBytes >= bytes;
        cancel();
        if (isGranted || memory.isAvailableInTurn(bytes)) {
            return true;
        }
        awaitedBytes = bytes;
        memory.budget().await(this);
        return false;
    }

    /** Ends the wait, and releases what was reserved. */
    void cancel() {
        if (awaitedBytes > 0) {
            memory.budget().cancelWait(this);
            awaitedBytes = 0;
        }
        memory.release(grantedBytes);
        grantedBytes = 0;
    }

    @Override
    public boolean tryProceed() {
        if (!memory.isAvailable(awaitedBytes)) {
            return false;
        }
        grantedBytes = awaitedBytes;
        awaitedBytes = 0;
        memory.add(grantedBytes);
        onGranted.run();
        return true;
    }

    @Override
    public boolean isWithinShare() {
        return memory.isWithinShare(awaitedBytes);
    }
}
