package org.xnio.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * A listening XNIO socket that can share its address with another process. XNIO has no option for
 * SO_REUSEPORT, so this class opens the socket as XNIO's worker does, but with that option set. It
 * is in XNIO's package because the classes that it needs are package-private.
 */
public final class SharedPort {
    private final NioTcpServer tcpServer;
    private final QueuedNioTcpServer2 queuedServer;
    private final ServerSocketChannel channel;

    private SharedPort(
            NioTcpServer tcpServer, QueuedNioTcpServer2 queuedServer, ServerSocketChannel channel) {
        this.channel = channel;
        this.tcpServer = tcpServer;
        this.queuedServer = queuedServer;
    }

    /**
     * @param shared whether another process may listen at the same address (SO_REUSEPORT)
     */
    public static SharedPort open(
            XnioWorker worker,
            InetSocketAddress address,
            boolean shared,
            OptionMap options,
            ChannelListener<? super AcceptingChannel<StreamConnection>> listener)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        boolean opened = false;
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            if (shared) {
                channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            channel.configureBlocking(false);
            channel.bind(address, options.get(Options.BACKLOG, 0));
            NioTcpServer tcpServer =
                    new NioTcpServer((NioXnioWorker) worker, channel, options, false);
            QueuedNioTcpServer2 queuedServer = new QueuedNioTcpServer2(tcpServer);
            queuedServer.setAcceptListener(listener);
            opened = true;
            return new SharedPort(tcpServer, queuedServer, channel);
        } finally {
            if (!opened) {
                IoUtils.safeClose(channel);
            }
        }
    }

    /** The thread that accepts connections. */
    public Thread acceptThread() {
        return (WorkerThread) queuedServer.getAcceptThread();
    }

    public void resumeAccepts() {
        queuedServer.resumeAccepts();
    }

    /**
     * Accepts the connections in the backlog, closes the socket, and then runs the task. Closing
     * alone would reset the connections in the backlog. The channel is deregistered first, because
     * a channel that is registered with a selector stays open, and keeps accepting, until the next
     * select.
     */
    public void close(Runnable afterClose) {
        queuedServer
                .getAcceptThread()
                .execute(
                        () -> {
                            deregister();
                            queuedServer.handleReady();
                            // closed immediately, because connections that arrive between
                            // these two calls are reset
                            IoUtils.safeClose(channel);
                            IoUtils.safeClose(queuedServer);
                            afterClose.run();
                        });
    }

    private void deregister() {
        NioTcpServerHandle handle = tcpServer.getHandle(0);
        handle.getSelectionKey().cancel();
        try {
            handle.getWorkerThread().getSelector().selectNow();
        } catch (IOException e) {
            // the socket is then closed by the next select
        }
    }
}
