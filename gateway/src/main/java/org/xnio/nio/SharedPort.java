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
 * A listening socket of XNIO that may share its address with another process. XNIO has no option
 * for SO_REUSEPORT, so this class opens the socket as XNIO's worker does, with that option set; it
 * is in XNIO's package because the classes it needs are package-private.
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
     * @param shared whether another process may listen at the address at the same time
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
     * Accepts what is in the backlog, closes the socket, and then runs the task; a close alone
     * would reset the connections in the backlog. A channel that is registered with a selector
     * stays open, and goes on accepting, until the next select; hence it is deregistered first.
     */
    public void close(Runnable then) {
        queuedServer
                .getAcceptThread()
                .execute(
                        () -> {
                            deregister();
                            queuedServer.handleReady();
                            // at once: what connects between these two calls is reset
                            IoUtils.safeClose(channel);
                            IoUtils.safeClose(queuedServer);
                            then.run();
                        });
    }

    private void deregister() {
        NioTcpServerHandle handle = tcpServer.getHandle(0);
        handle.getSelectionKey().cancel();
        try {
            handle.getWorkerThread().getSelector().selectNow();
        } catch (IOException e) {
            // the socket is then closed with the next select
        }
    }
}
