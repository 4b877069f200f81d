package tinford.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import tinford.transport.UdpSocket;

/** Short messages to and from the other gateways. */
public final class PeerMessenger {
    private static final int MOST_BYTES = 256;
    private final List<InetSocketAddress> peers;
    private final InetSocketAddress all;
    private final UdpSocket datagrams;

    /**
     * @param peers by their numbers; only what comes from one of them is heard
     */
    public PeerMessenger(
            RequestDispatcher desk,
            InetSocketAddress listen,
            List<InetSocketAddress> peers,
            InetSocketAddress all)
            throws IOException {
        this.peers = peers;
        this.all = all;
        this.datagrams =
                new UdpSocket(
                        desk.loop,
                        listen,
                        MOST_BYTES,
                        (from, bytes) -> {
                            int peer = peers.indexOf(from);
                            if (peer >= 0) {
                                desk.in.gossipReceived(
                                        peer, new String(bytes, StandardCharsets.UTF_8));
                            }
                        });
    }

    void tell(int peer, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length <= MOST_BYTES) {
            datagrams.send(peer < 0 ? all : peers.get(peer), bytes);
        }
    }
}
