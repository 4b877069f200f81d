package tinford.routing.client;

import java.util.ArrayDeque;

/** Reserves buffers for long commands that arrive in parts, in order of arrival. */
final class CommandBuffers {
    private final long maxHeldBytes;
    private final ArrayDeque<ClientConnection> waiting = new ArrayDeque<>();
    private long reservedBytes;

    /**
     * @param maxHeldBytes what open requests may hold; commands that arrive may take half of it, as
     *     one that is complete needs its place too
     */
    CommandBuffers(long maxHeldBytes) {
        this.maxHeldBytes = maxHeldBytes;
    }

    /** Reserves what the connection awaits and notifies it, or adds it to those that wait. */
    boolean tryReserve(ClientConnection connection) {
        int bytes = connection.awaitedBytes();
        boolean othersFirst = !waiting.isEmpty() && waiting.peek() != connection;
        if (othersFirst || !isAvailable(bytes)) {
            if (!waiting.contains(connection)) {
                waiting.add(connection);
            }
            return false;
        }
        waiting.remove(connection);
        reservedBytes += bytes;
        connection.onBufferReserved();
        return true;
    }

    private boolean isAvailable(int bytes) {
        return bytes <= maxHeldBytes
                && (reservedBytes == 0 || reservedBytes + bytes <= maxHeldBytes / 2);
    }

    /** Frees what a connection has reserved, and serves those that wait. */
    void release(ClientConnection connection, int bytes) {
        reservedBytes -= bytes;
        waiting.remove(connection);
        while (!waiting.isEmpty() && tryReserve(waiting.peek())) {
            // Each call serves the next one.
        }
    }
}
