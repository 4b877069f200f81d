package tinford.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Closes a connection in two steps: it shuts down the sending side, and closes the socket once the
 * peer has done the same or {@value #PEER_CLOSE_TIMEOUT_MS} ms have passed. Input that arrives in
 * between is discarded.
 */
final class LingeringClose {
    static final double PEER_CLOSE_TIMEOUT_MS = 1000;
    private static final int DISCARD_BUFFER_BYTES = 1024;
    private final EventLoop loop;
    private final StreamConnection connection;
    private final Runnable onClosed;
    private final ByteBuffer discardBuffer = ByteBuffer.allocate(DISCARD_BUFFER_BYTES);
    private EventLoop.Timer timeout;
    private boolean closed;

    /**
     * @param onClosed called once, within a batch, after the socket was closed
     */
    LingeringClose(EventLoop loop, StreamConnection connection, Runnable onClosed) {
        this.loop = loop;
        this.connection = connection;
        this.onClosed = onClosed;
    }

    void start() {
        timeout = loop.schedule(PEER_CLOSE_TIMEOUT_MS, this::submitClose);
        connection
                .getSourceChannel()
                .setReadListener(
                        channel -> {
                            if (discardUntilEnd(channel)) {
                                channel.suspendReads();
                                submitClose();
                            }
                        });
        connection.getSourceChannel().resumeReads();
        try {
            connection.getSinkChannel().shutdownWrites();
        } catch (IOException e) {
            submitClose();
        }
    }

    /** Discards the input; returns true if the peer has shut down its sending side or reset. */
    private boolean discardUntilEnd(ReadableByteChannel channel) {
        try {
            int read;
            do {
                read = channel.read(discardBuffer.clear());
            } while (read > 0);
            return read < 0;
        } catch (IOException e) {
            return true;
        }
    }

    private void submitClose() {
        loop.submit(this::close);
    }

    private void close() {
        if (closed) {
            return;
        }
        closed = true;
        timeout.cancel();
        IoUtils.safeClose(connection);
        onClosed.run();
    }
}
