package tinford.routing.client;

import tinford.protocol.ProtocolException;
import tinford.routing.RoutingContext;
import tinford.transport.CloseReason;
import tinford.transport.ConnectionBuffer;

/** Observes whether a client accepts the responses that are written to its connection. */
final class WriteProgress {
    /** How long a client may accept nothing of a response that is to be written. */
    private static final double UNREAD_RESPONSE_TIMEOUT_MS = 20_000;

    private final ConnectionBuffer buffer;

    /** Number of bytes that the client had accepted at {@link #lastProgressMs}. */
    private long lastWrittenBytes;

    /** Time at which the client was last seen to accept bytes, or to have accepted all. */
    private double lastProgressMs;

    WriteProgress(ConnectionBuffer buffer, double nowMs) {
        this.buffer = buffer;
        this.lastProgressMs = nowMs;
    }

    /** Looks for progress; returns whether there has been none for too long. */
    boolean isStalled(double nowMs) {
        if (buffer.unwrittenBytes() == 0 || buffer.writtenBytes() != lastWrittenBytes) {
            lastWrittenBytes = buffer.writtenBytes();
            lastProgressMs = nowMs;
        }
        return nowMs - lastProgressMs >= UNREAD_RESPONSE_TIMEOUT_MS;
    }

    /**
     * Logs that this process ends the connection although its client has not accepted all bytes.
     */
    void warnIfUnwritten(RoutingContext context, CloseReason reason) {
        boolean endedByPeer =
                reason == CloseReason.CLOSED_BY_PEER || reason == CloseReason.IO_ERROR;
        if (buffer.unwrittenBytes() > 0 && !endedByPeer) {
            context.warn(
                    "client connection ended with unwritten responses",
                    "bytes=" + buffer.unwrittenBytes(),
                    new ProtocolException("a client that reads them, not " + reason));
        }
    }
}
