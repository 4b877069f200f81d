package tinford.routing.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import tinford.routing.RoutingContext;
import tinford.transport.UdpSocket;

/** Sends and receives short gossip messages between gateways as UDP datagrams. */
public final class PeerMessenger {
    private static final int MAX_MESSAGE_BYTES = 256;
    private final RoutingContext context;
    private final List<InetSocketAddress> peers;
    private final InetSocketAddress allPeers;
    private final UdpSocket socket;

    /**
     * @param peers addresses of the peers, indexed by gateway number; datagrams from other
     *     addresses are ignored
     * @param allPeers address for messages to all peers
     * @throws IOException if the socket cannot be bound to the listen address
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
     * Sends a message. A message of more than 256 bytes is dropped.
     *
     * @param peer number of the gateway, or a negative number for all peers
     */
    public void send(int peer, String text) {
        byte[] message = text.getBytes(StandardCharsets.UTF_8);
        if (message.length <= MAX_MESSAGE_BYTES) {
            socket.send(peer < 0 ? allPeers : peers.get(peer), message);
        }
    }
}
