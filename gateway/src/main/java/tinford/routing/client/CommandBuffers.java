package tinford.routing.client;

import java.util.ArrayDeque;

/** Reserves buffers for long commands that arrive in parts, in order of arrival. */
final class CommandBuffers {
    private final HeldBytes heldBytes;
    private final ArrayDeque<ClientConnection> waiting = new ArrayDeque<>();

    CommandBuffers(HeldBytes heldBytes) {
        this.heldBytes = heldBytes;
    }

    /** Reserves what the connection awaits and notifies it, or adds it to those that wait. */
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

    /** Ends what a connection has reserved or waits for; {@link #serveWaiting} is to follow. */
    void release(ClientConnection connection, int bytes) {
        heldBytes.releaseReserved(bytes);
        waiting.remove(connection);
    }

    /** Reserves buffers for those that wait, as far as there is room. */
    void serveWaiting() {
        while (!waiting.isEmpty() && tryReserve(waiting.peek())) {
            // Each call serves the next one.
        }
    }
}
