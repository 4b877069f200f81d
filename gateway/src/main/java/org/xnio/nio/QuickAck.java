package org.xnio.nio;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import jdk.net.ExtendedSocketOptions;
import org.xnio.StreamConnection;

/**
 * Acknowledges received data at once. XNIO has no option for TCP_QUICKACK. It is in XNIO's package
 * because the socket of a connection is package-private.
 */
public final class QuickAck {
    private QuickAck() {}

    /**
     * Acknowledges what the connection has received, instead of up to 40 ms later: a peer without
     * TCP_NODELAY holds its next small write back until then. Does nothing where the system has no
     * such option.
     */
    public static void send(StreamConnection connection) throws IOException {
        SocketChannel channel = ((NioSocketStreamConnection) connection).getChannel();
        if (channel.supportedOptions().contains(ExtendedSocketOptions.TCP_QUICKACK)) {
            channel.setOption(ExtendedSocketOptions.TCP_QUICKACK, true);
        }
    }
}
