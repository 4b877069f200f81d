package tinford.routing.client;

import java.util.ArrayDeque;

/** Reserves buffers for long commands while they are received, in order of arrival. */
final class CommandBuffers {
    private final HeldBytes heldBytes;
    private final ArrayDeque<ClientConnection> waiting = new ArrayDeque<>();

    CommandBuffers(HeldBytes heldBytes) {
        this.heldBytes = heldBytes;
    }

    /** Reserves the buffer that a connection needs and notifies it, or adds it to the queue. */
    boolean tryReserve(ClientConnection connection) {
        boolean othersFirst = !waiting.isEmpty() && waiting.peek() != connection;
        if (othersFirst || !heldBytes.tryReserve(connection.awaitedBytes())) {
            if (!waiting.contains(connection)) {
                waiting.add(connection);
            }
            return false;
        }
        waiting.remove(connection);
        connection.onBufferReserved();
        return true;
    }

    /**
     * Releases a reservation, or ends the wait for one. The caller must call {@link #serveWaiting}.
     */
    void release(ClientConnection connection, int bytes) {
        heldBytes.releaseReserved(bytes);
        waiting.remove(connection);
    }

    /** Reserves buffers for waiting connections while the limit allows it. */
    void serveWaiting() {
        while (!waiting.isEmpty() && tryReserve(waiting.peek())) {
            // Each call of the condition serves one connection.
        }
    }
}
