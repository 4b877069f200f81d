package tinford.routing.counter;

import java.util.ArrayDeque;
import tinford.routing.OutcomeMapping;
import tinford.transport.CloseReason;

/** A partition of the counter keys, with the connection for calls on these keys. */
final class CounterLane {
    private final CounterClient client;
    private final ArrayDeque<IncrementCall> unsent = new ArrayDeque<>();

    /** The connection to the current address, or null. */
    private CounterConnection connection;

    /** The connection to the previous address while responses are due on it, or null. */
    private CounterConnection oldConnection;

    CounterLane(CounterClient client) {
        this.client = client;
    }

    void connect() {
        if (connection == null) {
            connection = new CounterConnection(client, this);
        }
    }

    void add(IncrementCall call) {
        unsent.add(call);
        connect();
        sendIfOpen();
    }

    private void sendIfOpen() {
        if (connection != null && connection.isOpen()) {
            connection.sendCalls();
        }
    }

    /**
     * Removes and returns the next call to send. Returns null if there is none, or if responses are
     * still due from the previous address.
     */
    IncrementCall pollUnsent() {
        return oldConnection == null ? unsent.poll() : null;
    }

    /** Removes an unsent call; returns false if the call has been sent. */
    boolean removeUnsent(IncrementCall call) {
        return unsent.remove(call);
    }

    /** Opens a connection to the client's new address in addition to the old connection. */
    void reconnect() {
        // The address has changed again while responses from the old address are still due.
        if (oldConnection != null) {
            oldConnection.close(CloseReason.CANCELLED);
        }
        oldConnection = connection;
        connection = null;
        connect();
        closeOldIfAllReported();
    }

    /**
     * Closes the connection to the old address once no outcome is due on it. The new connection
     * sends only then, so that the responses for a key keep the order of the calls.
     */
    void closeOldIfAllReported() {
        if (oldConnection != null && !oldConnection.hasUnreportedCalls()) {
            oldConnection.close(CloseReason.CLOSED_IDLE);
        }
    }

    /** Time after which its connection counts as silent; infinite while no response is due. */
    double silentAtMs() {
        return connection == null ? Double.POSITIVE_INFINITY : connection.silentAtMs();
    }

    void closeIfStalled() {
        if (connection != null) {
            connection.closeIfStalled();
        }
    }

    void connectionEnded(CounterConnection ended, CloseReason reason) {
        boolean old = ended == oldConnection;
        if (old) {
            oldConnection = null;
        } else {
            connection = null;
        }
        ended.reportUnansweredCalls(reason);
        if (old) {
            sendIfOpen();
            return;
        }
        if (reason == CloseReason.CONNECT_REFUSED || reason == CloseReason.NO_DESCRIPTOR) {
            failUnsent(reason);
        }
        if (endsAfterDelay(reason) || !unsent.isEmpty()) {
            connect();
        } else {
            client.context.loop().schedule(client.connectTimeoutMs, this::connect);
        }
    }

    /** Reports unsent calls as failed. For other close reasons they wait until their timeout. */
    private void failUnsent(CloseReason reason) {
        for (IncrementCall call = unsent.poll(); call != null; call = unsent.poll()) {
            client.report(call, OutcomeMapping.ofCounterCall(reason, false), 0);
        }
    }

    /**
     * Whether a connection with this close reason ended only after a delay, so that the next one
     * may be opened at once. A connection that fails immediately must not be retried faster than
     * one that is silent.
     */
    private static boolean endsAfterDelay(CloseReason reason) {
        return reason == CloseReason.CONNECT_TIMEOUT
                || reason == CloseReason.RESPONSE_TIMEOUT
                || reason == CloseReason.STALLED
                || reason == CloseReason.PROTOCOL_ERROR;
    }
}
