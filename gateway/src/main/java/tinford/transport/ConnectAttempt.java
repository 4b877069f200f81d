package tinford.transport;

import java.net.InetSocketAddress;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;

/** An attempt to connect, which reports its result to its {@link Connection}. */
final class ConnectAttempt {
    private static final OptionMap SOCKET_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);
    private final Connection connection;
    private final EventLoop.Timer timeout;
    private final IoFuture<StreamConnection> future;

    ConnectAttempt(
            EventLoop loop, InetSocketAddress address, double timeoutMs, Connection connection) {
        this.connection = connection;
        timeout = loop.schedule(timeoutMs, () -> connection.close(CloseReason.CONNECT_TIMEOUT));
        future = loop.ioThread.openStreamConnection(address, this::onConnected, SOCKET_OPTIONS);
        future.addNotifier(
                (result, attachment) -> {
                    if (result.getStatus() == IoFuture.Status.FAILED) {
                        connection.fail(CloseReason.CONNECT_REFUSED);
                    }
                },
                null);
    }

    private void onConnected(StreamConnection established) {
        timeout.cancel();
        connection.onConnected(established);
    }

    /** Cancels the attempt; has no effect once it has ended. */
    void cancel() {
        timeout.cancel();
        future.cancel();
    }
}
