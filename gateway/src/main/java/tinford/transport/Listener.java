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

/** A listening address, whose accepted connections are taken over by {@link Connection}s. */
public final class Listener {
    private static final int BACKLOG = 512;
    private final EventLoop loop;
    private final Supplier<? extends Connection> connections;
    private final SharedPort port;

    /**
     * @param shared whether another process may listen at the same address
     * @param maxConnections that may be open through it at once; more wait in the backlog
     * @param connections makes the owner of an accepted connection, or null to have it closed
     */
    public Listener(
            EventLoop loop,
            InetSocketAddress address,
            boolean shared,
            int maxConnections,
            Supplier<? extends Connection> connections)
            throws IOException {
        this.loop = loop;
        this.connections = connections;
        port =
                SharedPort.open(
                        loop.worker, address, shared, options(maxConnections), this::acceptAll);
        if (loop.threadEndHandler() != null) {
            port.acceptThread().setUncaughtExceptionHandler(loop.threadEndHandler());
        }
        port.resumeAccepts();
    }

    /**
     * XNIO compares the low water mark with the count before a close: with a lower mark than the
     * high one, a full listener would not accept again after a single close.
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
                loop.submit(() -> handOver(accepted));
            }
        } catch (IOException e) {
            // the listener was closed meanwhile
        }
    }

    private void handOver(StreamConnection accepted) {
        Connection connection = connections.get();
        if (connection == null) {
            IoUtils.safeClose(accepted);
        } else if (loop.descriptorBudget.tryAcquire(connection.party())) {
            connection.markDescriptorAcquired();
            connection.adopt(accepted);
        } else {
            IoUtils.safeClose(accepted);
            connection.close(CloseReason.NO_DESCRIPTOR);
        }
    }

    /**
     * Accepts what is in the backlog, then closes the listener. The task runs within a batch, after
     * the connections accepted last were handed over.
     */
    public void closeAfterAccepting(EventLoop.Task task) {
        port.close(() -> loop.execute(() -> loop.submit(task)));
    }
}
