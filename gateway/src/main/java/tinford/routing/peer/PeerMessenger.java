package tinford.routing.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import tinford.routing.RoutingContext;
import tinford.transport.UdpSocket;

/** Sends and receives short messages between the gateways, as datagrams. */
public final class PeerMessenger {
    private static final int MAX_MESSAGE_BYTES = 256;
    private final RoutingContext context;
    private final List<InetSocketAddress> peers;
    private final InetSocketAddress allPeers;
    private final UdpSocket socket;

    /**
     * @param peers by their numbers; datagrams from other addresses are ignored
     * @param allPeers where a message to all peers is sent
     * @throws IOException if the address can't be listened at
     */
    public PeerMessenger(
            RoutingContext context,
            InetSocketAddress listenAddress,
            List<InetSocketAddress> peers,
            InetSocketAddress allPeers)
            throws IOException {
        this.context = context;
        this.peers = peers;
        this.allPeers = allPeers;
        this.socket =
                new UdpSocket(context.loop(), listenAddress, MAX_MESSAGE_BYTES, this::receive);
    }

    private void receive(InetSocketAddress sender, byte[] message) {
        int peer = peers.indexOf(sender);
        if (peer >= 0) {
            context.events().gossipReceived(peer, new String(message, StandardCharsets.UTF_8));
        }
    }

    /**
     * Sends a message; one that is too long is dropped.
     *
     * @param peer its number, or below 0 for all peers
     */
    public void send(int peer, String text) {
        byte[] message = text.getBytes(StandardCharsets.UTF_8);
        if (message.length <= MAX_MESSAGE_BYTES) {
            socket.send(peer < 0 ? allPeers : peers.get(peer), message);
        }
    }
}
