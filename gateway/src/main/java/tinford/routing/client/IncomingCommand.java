package tinford.routing.client;

import tinford.protocol.RespReader;
import tinford.transport.ConnectionBuffer;
import tinford.transport.MemoryBudget;

/**
 * The command that a connection has received in part. One that needs more than a small buffer is
 * received only once there is memory for all of it, so that no two wait for each other's rest.
 */
final class IncomingCommand implements MemoryBudget.Waiter {
    /** Time to wait for the rest of a partial command; clients may take 2 s to send one. */
    static final double TIMEOUT_MS = 2300;

    /** Unread bytes that a connection may have without a reservation. */
    static final int BASE_READ_BYTES = 8 << 10;

    /** What is to be done about a partial command. */
    enum Step {
        READ_ON,
        AWAIT_MEMORY,
        REJECT
    }

    private final ClientConnection connection;
    private final ConnectionBuffer buffer;
    private final ClientMemory memory;

    /** Size of the command for whose memory the connection waits, or 0. */
    private int awaitedBytes;

    /** Size of the command for which the buffer has been enlarged, or 0. */
    private int reservedBytes;

    /** Remaining bytes of a command that was rejected unread, which are to be discarded. */
    private int discardBytes;

    /** Time since which a partial command has been waiting for its rest, or 0. */
    private double partialSinceMs;

    IncomingCommand(ClientConnection connection, ConnectionBuffer buffer, ClientMemory memory) {
        this.connection = connection;
        this.buffer = buffer;
        this.memory = memory;
    }

    boolean isPartial() {
        return partialSinceMs > 0;
    }

    boolean awaitsMemory() {
        return awaitedBytes > 0;
    }

    /** Whether the command has been waiting for its rest or for memory for too long. */
    boolean isOverdue(double nowMs) {
        return partialSinceMs > 0 && nowMs - partialSinceMs >= TIMEOUT_MS;
    }

    /** How many unread bytes the connection may have. */
    int readLimitBytes() {
        return Math.max(BASE_READ_BYTES, reservedBytes);
    }

    /**
     * Called when the unread bytes hold no complete command.
     *
     * @param reader which has parsed the unread bytes
     * @param mayWait whether a long command may wait for memory; otherwise it is rejected
     */
    Step onPartial(RespReader reader, boolean mayWait, double nowMs) {
        boolean isLong = reservedBytes > 0 && reader.requiresLongBody();
        if (buffer.unreadBytes() == 0) {
            partialSinceMs = 0;
        } else if (partialSinceMs == 0 || isLong) {
            partialSinceMs = nowMs;
        }
        int neededBytes = Math.max(reader.requiredBytes(), bytesForNextLine());
        if (neededBytes <= readLimitBytes() || awaitedBytes > 0) {
            return Step.READ_ON;
        }
        awaitedBytes = neededBytes;
        if (memory.isAvailableInTurn(buffer.growthForRead(neededBytes))) {
            reserve();
            return Step.READ_ON;
        }
        if (mayWait || !reader.requiresLongBody()) {
            memory.budget().await(this);
            return Step.AWAIT_MEMORY;
        }
        awaitedBytes = 0;
        discardBytes = neededBytes;
        return Step.REJECT;
    }

    /** Room for the line that tells how long the next element is, once all other room is used. */
    private int bytesForNextLine() {
        boolean isFull = buffer.unreadBytes() >= readLimitBytes();
        return isFull ? buffer.unreadBytes() + RespReader.MAX_LINE_BYTES : 0;
    }

    private void reserve() {
        reservedBytes = awaitedBytes;
        awaitedBytes = 0;
        buffer.reserveForRead(reservedBytes);
    }

    @Override
    public boolean tryProceed() {
        if (!memory.isAvailable(buffer.growthForRead(awaitedBytes))) {
            return false;
        }
        reserve();
        connection.onMemoryReserved();
        return true;
    }

    @Override
    public boolean isWithinShare() {
        return memory.isWithinShare(buffer.growthForRead(awaitedBytes));
    }

    /** Gives the rest of the command as much time again, as it could not be read before. */
    void restartTimeout(double nowMs) {
        partialSinceMs = nowMs;
    }

    /** Called when the command has arrived completely, so that its client is not late any more. */
    void onComplete() {
        partialSinceMs = 0;
    }

    /**
     * Called when the command is taken or given up.
     *
     * @return whether the buffer had been enlarged for it
     */
    boolean end() {
        boolean isReserved = reservedBytes > 0;
        if (awaitedBytes > 0) {
            memory.budget().cancelWait(this);
        }
        reservedBytes = 0;
        awaitedBytes = 0;
        partialSinceMs = 0;
        return isReserved;
    }

    /** Discards what has come of a rejected command; returns whether more of it is to come. */
    boolean discardRejected() {
        int length = Math.min(discardBytes, buffer.unreadBytes());
        discardBytes -= length;
        buffer.consume(length);
        return discardBytes > 0;
    }
}
