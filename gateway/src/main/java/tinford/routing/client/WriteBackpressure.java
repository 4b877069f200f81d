package tinford.routing.client;

import tinford.transport.ConnectionBuffer;
import tinford.transport.MemoryBudget;

/**
 * Tells whether a client accepts its responses more slowly than they are written. Until it has
 * caught up, no further response is written to the buffer of its connection, and no command is
 * read.
 */
final class WriteBackpressure {
    private static final int HIGH_WATER_BYTES = 32 << 10;
    private static final int LOW_WATER_BYTES = 8 << 10;

    private final ConnectionBuffer buffer;
    private final MemoryBudget budget;

    WriteBackpressure(ConnectionBuffer buffer, MemoryBudget budget) {
        this.buffer = buffer;
        this.budget = budget;
    }

    /** Whether more bytes are unwritten than the connection may hold at present. */
    boolean isActive() {
        int limitBytes = budget.isNearlyExhausted() ? 0 : HIGH_WATER_BYTES;
        return buffer.unwrittenBytes() > limitBytes;
    }

    /** The number of unwritten bytes at which writing continues. */
    int resumeBytes() {
        return budget.isNearlyExhausted() ? 0 : LOW_WATER_BYTES;
    }
}
