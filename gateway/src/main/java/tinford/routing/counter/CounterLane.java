package tinford.routing.counter;

import java.util.ArrayDeque;
import tinford.routing.OutcomeMapping;
import tinford.transport.CloseReason;

/** A part of the counter keys, and the connection for the calls on them. */
final class CounterLane {
    private final CounterClient client;
    private final ArrayDeque<IncrementCall> unsent = new ArrayDeque<>();

    /** To the current address, or null. */
    private CounterConnection connection;

    /** To the address before, while responses are awaited from it, or null. */
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

    /** The next call to send, or null: there is none, or earlier ones await responses elsewhere. */
    IncrementCall pollUnsent() {
        return oldConnection == null ? unsent.poll() : null;
    }

    /** Takes a call back; false if it has been sent. */
    boolean withdraw(IncrementCall call) {
        return unsent.remove(call);
    }

    /** Opens a connection to the client's new address beside the old one. */
    void reconnect() {
        // The second move within the time of a call.
        if (oldConnection != null) {
            oldConnection.close(CloseReason.CANCELLED);
        }
        oldConnection = connection;
        connection = null;
        connect();
        closeOldIfSettled();
    }

    /**
     * Closes the connection to the old address once it awaits nothing: only then its successor
     * sends, so that the responses for a key keep the order of the calls.
     */
    void closeOldIfSettled() {
        if (oldConnection != null && !oldConnection.hasUnreportedCalls()) {
            oldConnection.close(CloseReason.CLOSED_IDLE);
        }
    }

    /** When its connection counts as silent; infinite while no response is due. */
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
        ended.reportSentCalls(reason);
        if (old) {
            sendIfOpen();
            return;
        }
        if (reason == CloseReason.CONNECT_REFUSED || reason == CloseReason.NO_DESCRIPTOR) {
            failUnsent(reason);
        }
        if (isDelayed(reason) || !unsent.isEmpty()) {
            connect();
        } else {
            client.context.loop().schedule(client.connectTimeoutMs, this::connect);
        }
    }

    /** For other reasons calls not sent have the rest of their time. */
    private void failUnsent(CloseReason reason) {
        for (IncrementCall call = unsent.poll(); call != null; call = unsent.poll()) {
            client.report(call, OutcomeMapping.ofCounterCall(reason, false), 0);
        }
    }

    /**
     * Whether a connection took its time to end like this, so that the next one may follow at once:
     * one that ends immediately is not to be retried faster than one that is silent.
     */
    private static boolean isDelayed(CloseReason reason) {
        return reason == CloseReason.CONNECT_TIMEOUT
                || reason == CloseReason.RESPONSE_TIMEOUT
                || reason == CloseReason.STALLED
                || reason == CloseReason.PROTOCOL_ERROR;
    }
}
