package tinford.routing.client;

import tinford.protocol.ProtocolException;
import tinford.protocol.RespReader;
import tinford.routing.RoutingContext;
import tinford.transport.ConnectionBuffer;
import tinford.transport.MemoryBudget;

/**
 * The heap memory that one client connection makes the process hold: its buffer, the commands of
 * its open requests, and the responses that wait for earlier ones.
 */
final class ClientMemory {
    /**
     * Objects of an open request: the request, its fields, its response slot, its attempt with two
     * timers, and its place in the decision module.
     */
    private static final int REQUEST_BYTES = 1024;

    /** Reserved for a response that may have to wait for earlier ones: the longest one. */
    private static final long RESPONSE_BYTES = MemoryBudget.arrayBytes(RespReader.MAX_VALUE_BYTES);

    private final MemoryBudget budget;
    private final ConnectionBuffer buffer;
    private long heldBytes;

    ClientMemory(MemoryBudget budget, ConnectionBuffer buffer) {
        this.budget = budget;
        this.buffer = buffer;
    }

    /**
     * The memory that a request takes.
     *
     * @param commandBytes the length of the array with its command
     * @param isBehindOthers whether its response may have to wait for earlier ones
     */
    static long requestBytes(int commandBytes, boolean isBehindOthers) {
        long bytes = REQUEST_BYTES + MemoryBudget.arrayBytes(commandBytes);
        return isBehindOthers ? bytes + RESPONSE_BYTES : bytes;
    }

    MemoryBudget budget() {
        return budget;
    }

    /** Counts bytes that are about to be allocated. */
    void add(long bytes) {
        heldBytes += bytes;
        budget.add(bytes);
    }

    void release(long bytes) {
        heldBytes -= bytes;
        budget.release(bytes);
    }

    /** Releases all but the buffer, as the connection is closed. */
    void releaseAll() {
        release(heldBytes);
    }

    /** Whether the connection may take more. */
    boolean isAvailable(long moreBytes) {
        return budget.isAvailable(totalBytes(), moreBytes);
    }

    /** As {@link #isAvailable}, but beyond its share only if no other connection waits. */
    boolean isAvailableInTurn(long moreBytes) {
        boolean inTurn = isWithinShare(moreBytes) || !budget.hasWaiters();
        return inTurn && isAvailable(moreBytes);
    }

    boolean isWithinShare(long moreBytes) {
        return !budget.exceedsShare(totalBytes() + moreBytes);
    }

    /** Logs that a command has to wait for memory, or is rejected. */
    void warnShort(RoutingContext context) {
        context.warn(
                "commands wait for memory",
                "used=" + budget.usedBytes() + " held=" + totalBytes(),
                new ProtocolException("less than the limit of " + budget.limitBytes() + " in use"));
    }

    private long totalBytes() {
        return heldBytes + buffer.heapBytes();
    }
}
