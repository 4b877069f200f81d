package tinford.routing.peer;

import static org.testng.Assert.assertEquals;
import static tinford.routing.RoutingFixtures.LOOPBACK;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import tinford.api.DecisionModule;
import tinford.routing.dispatch.RequestDispatcher;
import tinford.testing.FreePort;
import tinford.testing.IgnoredEvents;

/** Gossip messages between gateways, on real sockets. */
public class PeerMessengerTest {
    private static final int TOO_LONG = 257;
    private final LinkedBlockingQueue<String> received = new LinkedBlockingQueue<>();

    @Test
    public void onlyShortMessagesOfListedPeersAreReceived() throws Exception {
        DecisionModule echo =
                (now, batch, actions) ->
                        batch.replay(
                                new IgnoredEvents() {
                                    @Override
                                    public void gossipReceived(int peer, String text) {
                                        received.add(peer + " " + text);
                                        actions.sendGossip(peer, "re " + text);
                                        actions.sendGossip(peer, "x".repeat(TOO_LONG));
                                        actions.sendGossip(-1, "all");
                                    }
                                });
        try (DatagramSocket peer = new DatagramSocket(0, LOOPBACK);
                DatagramSocket stranger = new DatagramSocket(0, LOOPBACK);
                DatagramSocket all = new DatagramSocket(0, LOOPBACK)) {
            InetSocketAddress listen = new InetSocketAddress(LOOPBACK, FreePort.find());
            RequestDispatcher dispatcher = new RequestDispatcher(echo, 3, 10, 1 << 20);
            List<InetSocketAddress> peers =
                    List.of(new InetSocketAddress(LOOPBACK, 9), addressOf(peer));
            PeerMessenger messenger = new PeerMessenger(dispatcher, listen, peers, addressOf(all));
            dispatcher.attach(null, null, null, null, messenger);
            send(stranger, listen, "stranger");
            send(peer, listen, "x".repeat(TOO_LONG));
            send(peer, listen, "hi");
            assertEquals(received.poll(10, TimeUnit.SECONDS), "1 hi");
            assertEquals(received.size(), 0);
            assertEquals(receive(peer), "re hi");
            assertEquals(receive(all), "all");
            dispatcher.loop().close();
        }
    }

    private static InetSocketAddress addressOf(DatagramSocket socket) {
        return new InetSocketAddress(socket.getLocalAddress(), socket.getLocalPort());
    }

    private static void send(DatagramSocket from, InetSocketAddress to, String text)
            throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        from.send(new DatagramPacket(bytes, bytes.length, to));
    }

    private static String receive(DatagramSocket socket) throws IOException {
        socket.setSoTimeout(10_000);
        DatagramPacket packet = new DatagramPacket(new byte[1000], 1000);
        socket.receive(packet);
        return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8);
    }
}
