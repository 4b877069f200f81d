package tinford.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;
import org.xnio.nio.SharedPort;

/** Listens at an address, and passes each accepted socket to a new {@link Connection}. */
public final class Listener {
    private static final int BACKLOG = 512;
    private final EventLoop loop;
    private final Supplier<? extends Connection> connectionFactory;
    private final SharedPort serverSocket;

    /**
     * @param shared whether another process may listen at the same address (SO_REUSEPORT)
     * @param maxConnections how many accepted connections may be open at once; further ones wait in
     *     the backlog
     * @param connectionFactory creates the connection for an accepted socket, or returns null to
     *     have the socket closed
     */
    public Listener(
            EventLoop loop,
            InetSocketAddress address,
            boolean shared,
            int maxConnections,
            Supplier<? extends Connection> connectionFactory)
            throws IOException {
        this.loop = loop;
        this.connectionFactory = connectionFactory;
        serverSocket =
                SharedPort.open(
                        loop.worker, address, shared, options(maxConnections), this::acceptAll);
        if (loop.threadFailureHandler() != null) {
            serverSocket.acceptThread().setUncaughtExceptionHandler(loop.threadFailureHandler());
        }
        serverSocket.resumeAccepts();
    }

    /**
     * The low water mark equals the high one, because XNIO compares it with the count before a
     * close: with a lower mark, a full listener would not resume accepting after a single close.
     */
    private static OptionMap options(int maxConnections) {
        return OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.BACKLOG, BACKLOG)
                .set(Options.CONNECTION_HIGH_WATER, maxConnections)
                .set(Options.CONNECTION_LOW_WATER, maxConnections)
                .getMap();
    }

    private void acceptAll(AcceptingChannel<StreamConnection> channel) {
        try {
            for (StreamConnection c = channel.accept(); c != null; c = channel.accept()) {
                StreamConnection accepted = c;
                loop.submit(() -> adopt(accepted));
            }
        } catch (IOException e) {
            // the listener has been closed in the meantime
        }
    }

    private void adopt(StreamConnection accepted) {
        Connection connection = connectionFactory.get();
        if (connection == null) {
            IoUtils.safeClose(accepted);
        } else if (loop.descriptorBudget.tryAcquire(connection.peerKind())) {
            connection.markDescriptorAcquired();
            connection.adopt(accepted);
        } else {
            IoUtils.safeClose(accepted);
            connection.close(CloseReason.NO_DESCRIPTOR);
        }
    }

    /**
     * Accepts the connections in the backlog, then closes the listener. The task runs within a
     * batch, after the last accepted sockets were passed to their connections.
     */
    public void closeAfterAccepting(EventLoop.Task task) {
        serverSocket.close(() -> loop.execute(() -> loop.submit(task)));
    }
}
