package tinford.transport;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The limit on the heap memory that all connections use together: buffers, commands, and responses
 * that are kept. Memory counts before it is allocated. The last part of the limit is only for
 * holders that stay within an equal share, so that those which hold much do not keep out others.
 */
public final class MemoryBudget {
    /** Object header and length of an array. */
    private static final int ARRAY_HEADER_BYTES = 16;

    /** Objects are aligned to this many bytes. */
    private static final int ALIGNMENT_BYTES = 8;

    /** The limit divided by this is only for holders within their share. */
    private static final int SHARE_RESERVE_DIVISOR = 4;

    /** Something that waits for memory. */
    public interface Waiter {
        /** Takes the memory if it is available; returns whether the wait is over. */
        boolean tryProceed();

        /** Whether it may proceed before earlier waiters, as it stays within its share. */
        boolean isWithinShare();
    }

    private final long limitBytes;
    private final long shareBytes;
    private final ArrayDeque<Waiter> waiters = new ArrayDeque<>();
    private Runnable serveLater = () -> {};
    private boolean isServingScheduled;
    private long usedBytes;

    /**
     * @param limitBytes how many bytes may be used
     * @param holders the number of holders among which the limit is divided into equal shares
     */
    public MemoryBudget(long limitBytes, int holders) {
        this.limitBytes = limitBytes;
        this.shareBytes = limitBytes / Math.max(1, holders);
    }

    /** The heap size of a byte array, which is 0 for the shared empty one. */
    public static long arrayBytes(int length) {
        return length == 0
                ? 0
                : (ARRAY_HEADER_BYTES + length + ALIGNMENT_BYTES - 1L)
                        / ALIGNMENT_BYTES
                        * ALIGNMENT_BYTES;
    }

    /** Sets how to call {@link #serveWaiters} soon, after memory was released. */
    void setServeLater(Runnable action) {
        serveLater = action;
    }

    /** Whether a holder of that many bytes may take more. */
    public boolean isAvailable(long heldBytes, long moreBytes) {
        long limit = heldBytes + moreBytes <= shareBytes ? limitBytes : limitBytesBeyondShares();
        return usedBytes + moreBytes <= limit;
    }

    private long limitBytesBeyondShares() {
        return limitBytes - limitBytes / SHARE_RESERVE_DIVISOR;
    }

    /** Counts bytes that are about to be allocated. */
    public void add(long bytes) {
        usedBytes += bytes;
    }

    /** Returns bytes that are no longer used, and serves waiters soon. */
    public void release(long bytes) {
        usedBytes -= bytes;
        if (bytes > 0 && !waiters.isEmpty() && !isServingScheduled) {
            isServingScheduled = true;
            serveLater.run();
        }
    }

    /** Whether a holder has more than its equal share. */
    public boolean exceedsShare(long heldBytes) {
        return heldBytes > shareBytes;
    }

    public boolean isExceeded() {
        return usedBytes > limitBytes;
    }

    /** Whether only holders within their share may take more. */
    public boolean isNearlyExhausted() {
        return usedBytes > limitBytesBeyondShares();
    }

    /** Adds a waiter behind all others, unless it waits already. */
    public void await(Waiter waiter) {
        if (!waiters.contains(waiter)) {
            waiters.add(waiter);
        }
    }

    public void cancelWait(Waiter waiter) {
        waiters.remove(waiter);
    }

    public boolean hasWaiters() {
        return !waiters.isEmpty();
    }

    /**
     * Lets waiters proceed in the order of their arrival. Behind one for which there is not enough
     * memory only those proceed that stay within their share, so that a large one has its turn.
     */
    void serveWaiters() {
        isServingScheduled = false;
        boolean isBlocked = false;
        List<Waiter> inOrder = new ArrayList<>(waiters);
        for (Waiter waiter : inOrder) {
            boolean hasTurn = !isBlocked || waiter.isWithinShare();
            if (!hasTurn || !waiters.contains(waiter)) {
                continue;
            }
            if (waiter.tryProceed()) {
                waiters.remove(waiter);
            } else {
                isBlocked = true;
            }
        }
    }

    long availableBytes() {
        return limitBytes - usedBytes;
    }

    public long limitBytes() {
        return limitBytes;
    }

    /** The number of bytes in use. */
    public long usedBytes() {
        return usedBytes;
    }
}
