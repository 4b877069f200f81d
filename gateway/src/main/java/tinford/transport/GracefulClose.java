package tinford.transport;

import java.util.function.Consumer;

/**
 * The orderly close of one connection: its reason, how it proceeds, and the timeout after which the
 * connection is closed in any case.
 */
final class GracefulClose {
    /** How long the peer may take to read what was written before. */
    private static final double PEER_READ_TIMEOUT_MS = 20_000;

    /** The same where input is discarded. */
    private static final double DISCARDED_PEER_READ_TIMEOUT_MS = 50;

    private enum Mode {
        /** Shuts down the sending, and waits for the peer to do the same. */
        AWAIT_PEER,
        /** The same, but called off when input comes before the sending is shut down. */
        UNLESS_INPUT,
        /** Input is discarded, and the peer has only a short time to read what was written. */
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

    /** The reason of the close that is under way, or else this one. */
    CloseReason reasonOr(CloseReason other) {
        return reason != null ? reason : other;
    }

    /** Whether input calls it off, as long as the sending is not shut down. */
    boolean yieldsToInput() {
        return reason != null && mode == Mode.UNLESS_INPUT;
    }

    void setYieldsToInput() {
        mode = Mode.UNLESS_INPUT;
    }

    void setDiscardsInput() {
        mode = Mode.DISCARD_INPUT;
    }

    void start(CloseReason why) {
        reason = why;
        restartTimeout(PEER_READ_TIMEOUT_MS, why);
    }

    void callOff() {
        reason = null;
        timeout.cancel();
    }

    /** Leaves only a short time, for a peer that may send without end. */
    void shortenTimeout(CloseReason why) {
        restartTimeout(DISCARDED_PEER_READ_TIMEOUT_MS, why);
    }

    /** The peer's time counts anew: until now it may have been busy reading. */
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

    private void restartTimeout(double timeoutMs, CloseReason why) {
        cancelTimeout();
        timeout = loop.schedule(timeoutMs, () -> onTimeout.accept(why));
    }
}
