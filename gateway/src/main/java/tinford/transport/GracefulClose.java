package tinford.transport;

import java.io.IOException;
import java.util.function.Consumer;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * The state of a connection's graceful close: its reason, its mode, and the timeout after which the
 * connection is closed in any case.
 */
final class GracefulClose {
    /** How long the peer may take to read the bytes that were written before the close. */
    private static final double PEER_READ_TIMEOUT_MS = 20_000;

    /** As {@link #PEER_READ_TIMEOUT_MS}, in the mode that discards input. */
    private static final double PEER_READ_TIMEOUT_WHEN_DISCARDING_MS = 50;

    private enum Mode {
        /** Shuts down the sending side, and waits for the peer to do the same. */
        AWAIT_PEER,
        /**
         * As {@link #AWAIT_PEER}, but cancelled if input arrives before the sending side is shut
         * down.
         */
        CANCEL_ON_INPUT,
        /** Discards input, and gives the peer only a short time to read what was written. */
        DISCARD_INPUT
    }

    private final EventLoop loop;
    private final Consumer<CloseReason> onTimeout;
    private Mode mode = Mode.AWAIT_PEER;
    private CloseReason reason;
    private EventLoop.Timer timeout;

    GracefulClose(EventLoop loop, Consumer<CloseReason> onTimeout) {
        this.loop = loop;
        this.onTimeout = onTimeout;
    }

    boolean isActive() {
        return reason != null;
    }

    /** The reason of the active close, or the given one if no close is active. */
    CloseReason reasonOr(CloseReason other) {
        return reason != null ? reason : other;
    }

    /** Whether a close is active that input cancels until the sending side is shut down. */
    boolean isCancelledByInput() {
        return reason != null && mode == Mode.CANCEL_ON_INPUT;
    }

    void setCancelOnInput() {
        mode = Mode.CANCEL_ON_INPUT;
    }

    void setDiscardInput() {
        mode = Mode.DISCARD_INPUT;
    }

    void start(CloseReason closeReason) {
        reason = closeReason;
        restartTimeout(PEER_READ_TIMEOUT_MS, closeReason);
    }

    /**
     * Lets the last byte arrive together with the FIN. A peer that has received everything but not
     * yet the FIN might send its next command on this connection. With TCP_NODELAY off, a last byte
     * that is written separately is held back while earlier bytes are unacknowledged, and the
     * shutdown of the sending side sends it with the FIN.
     */
    void holdBackLastByte(StreamConnection connection, ConnectionBuffer buffer) throws IOException {
        if (isActive() && buffer.unwrittenBytes() > 1) {
            connection.setOption(Options.TCP_NODELAY, false);
            buffer.writeAllButLast(connection.getSinkChannel().getConduit());
        }
    }

    void cancel() {
        reason = null;
        timeout.cancel();
    }

    /** Switches to the short timeout, for a peer that may never stop sending. */
    void shortenTimeout(CloseReason closeReason) {
        restartTimeout(PEER_READ_TIMEOUT_WHEN_DISCARDING_MS, closeReason);
    }

    /** Restarts the timeout: until now the peer may have been busy reading. */
    void onHalfClosed() {
        if (mode != Mode.DISCARD_INPUT) {
            restartTimeout(LingeringClose.PEER_CLOSE_TIMEOUT_MS, reason);
        }
    }

    void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel();
        }
    }

    private void restartTimeout(double timeoutMs, CloseReason closeReason) {
        cancelTimeout();
        timeout = loop.schedule(timeoutMs, () -> onTimeout.accept(closeReason));
    }
}
