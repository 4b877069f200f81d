package tinford.fleet.transport;

import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.testng.annotations.Test;

/** The UDP transport fulfils the transport contract over the loopback interface. */
@Test
public class UdpTransportTest extends TransportContract {
    private final List<InetSocketAddress> peers = new ArrayList<>();
    private final boolean[] stalled = new boolean[3];
    private final Object gate = new Object();

    @Override
    void openAll() {
        try (DatagramSocket a = openSocket(0);
                DatagramSocket b = openSocket(0);
                DatagramSocket c = openSocket(0)) {
            peers.clear();
            for (DatagramSocket s : List.of(a, b, c)) {
                peers.add((InetSocketAddress) s.getLocalSocketAddress());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        super.openAll();
    }

    private static DatagramSocket openSocket(int port) throws IOException {
        return new DatagramSocket(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
    }

    @Override
    Transport open(int gateway, Transport.Receiver receiver) {
        try {
            return new UdpTransport(
                    gateway,
                    peers.get(gateway),
                    peers,
                    MAX_MESSAGE_BYTES,
                    (from, message) -> {
                        synchronized (gate) {
                            while (stalled[gateway]) {
                                awaitNotification();
                            }
                        }
                        receiver.receive(from, message);
                    });
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void awaitNotification() {
        try {
            gate.wait();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    void awaitCondition(BooleanSupplier condition) {
        for (long end = System.nanoTime() + 10_000_000_000L; !condition.getAsBoolean(); ) {
            assertTrue(System.nanoTime() < end, "not received within 10 s");
            LockSupport.parkNanos(1_000_000);
        }
    }

    @Override
    void degradeLinks() {
        // there is no way to lose or delay datagrams on the loopback interface
    }

    @Override
    void stall(int gateway) {
        setStalled(gateway, true);
    }

    @Override
    void resume(int gateway) {
        setStalled(gateway, false);
    }

    private void setStalled(int gateway, boolean on) {
        synchronized (gate) {
            stalled[gateway] = on;
            gate.notifyAll();
        }
    }

    @Override
    void sendFromUnknownSender(int to, byte[] message) {
        try (DatagramSocket s = openSocket(0)) {
            s.send(new DatagramPacket(message, message.length, peers.get(to)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        awaitCondition(() -> ((UdpTransport) transports.get(to)).unknownSenders() == 1);
    }

    /** The datagram comes from a peer's address and is longer than the largest message. */
    public void oversizedDatagramIsDropped() throws IOException {
        openAll();
        transports.get(0).close();
        try (DatagramSocket s = openSocket(peers.get(0).getPort())) {
            s.send(new DatagramPacket(testMessage(0, 1, 300), 300, peers.get(1)));
        }
        awaitCondition(() -> ((UdpTransport) transports.get(1)).oversizedMessages() == 1);
        assertTrue(received.get(1).isEmpty());
    }

    public void duplicateAddressIsRejected() {
        InetSocketAddress one = new InetSocketAddress("127.0.0.1", 9);
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        new UdpTransport(
                                0, one, List.of(one, one, one), MAX_MESSAGE_BYTES, (f, m) -> {}));
    }
}
