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
 * A listening socket of XNIO's own that shares its address with another process. XNIO has no option
 * for SO_REUSEPORT and binds where it opens, so this stands in its package and does what its worker
 * does, with that one option set.
 */
public final class SharedPort {
    private final NioTcpServer real;
    private final QueuedNioTcpServer2 server;

    private SharedPort(NioTcpServer real, QueuedNioTcpServer2 server) {
        this.real = real;
        this.server = server;
    }

    /**
     * @param shared another process may listen there at the same time
     */
    public static SharedPort open(
            XnioWorker worker,
            InetSocketAddress at,
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
            channel.bind(at, options.get(Options.BACKLOG, 0));
            NioTcpServer real = new NioTcpServer((NioXnioWorker) worker, channel, options, false);
            QueuedNioTcpServer2 server = new QueuedNioTcpServer2(real);
            server.setAcceptListener(listener);
            opened = true;
            return new SharedPort(real, server);
        } finally {
            if (!opened) {
                IoUtils.safeClose(channel);
            }
        }
    }

    public void resumeAccepts() {
        server.resumeAccepts();
    }

    /**
     * Guards those in the backlog, which a close would reset: they are taken first, right before
     * it. A channel that stands with a selector is closed only when that looks again, and lets in
     * more until then; hence it leaves the selector first.
     */
    public void close(Runnable then) {
        server.getAcceptThread()
                .execute(
                        () -> {
                            NioTcpServerHandle handle = real.getHandle(0);
                            handle.getSelectionKey().cancel();
                            try {
                                handle.getWorkerThread().getSelector().selectNow();
                            } catch (IOException e) {
                                // then it is closed a moment later
                            }
                            server.handleReady();
                            IoUtils.safeClose(server);
                            then.run();
                        });
    }
}
