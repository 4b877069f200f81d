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

/** Datagrams over loopback keep the contract. */
@Test
public class UdpTransportTest extends TransportContract {
    private final List<InetSocketAddress> peers = new ArrayList<>();
    private final boolean[] stalled = new boolean[3];
    private final Object gate = new Object();

    @Override
    void begin() {
        try (DatagramSocket a = at(0);
                DatagramSocket b = at(0);
                DatagramSocket c = at(0)) {
            peers.clear();
            for (DatagramSocket s : List.of(a, b, c)) {
                peers.add((InetSocketAddress) s.getLocalSocketAddress());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        super.begin();
    }

    private static DatagramSocket at(int port) throws IOException {
        return new DatagramSocket(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
    }

    @Override
    Transport open(int gateway, Transport.Receiver receiver) {
        try {
            return new UdpTransport(
                    gateway,
                    peers.get(gateway),
                    peers,
                    MOST,
                    (from, message) -> {
                        synchronized (gate) {
                            while (stalled[gateway]) {
                                hang();
                            }
                        }
                        receiver.receive(from, message);
                    });
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void hang() {
        try {
            gate.wait();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    void until(BooleanSupplier so) {
        for (long end = System.nanoTime() + 10_000_000_000L; !so.getAsBoolean(); ) {
            assertTrue(System.nanoTime() < end, "did not come");
            LockSupport.parkNanos(1_000_000);
        }
    }

    @Override
    void disturb() {
        // Loopback takes its own course.
    }

    @Override
    void stall(int gateway) {
        hold(gateway, true);
    }

    @Override
    void go(int gateway) {
        hold(gateway, false);
    }

    private void hold(int gateway, boolean on) {
        synchronized (gate) {
            stalled[gateway] = on;
            gate.notifyAll();
        }
    }

    @Override
    void stranger(int to, byte[] message) {
        try (DatagramSocket s = at(0)) {
            s.send(new DatagramPacket(message, message.length, peers.get(to)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        until(() -> ((UdpTransport) transports.get(to)).strangers() == 1);
    }

    /** One longer than agreed, from a peer's own address. */
    public void longerOneIsDropped() throws IOException {
        begin();
        transports.get(0).close();
        try (DatagramSocket s = at(peers.get(0).getPort())) {
            s.send(new DatagramPacket(marked(0, 1, 300), 300, peers.get(1)));
        }
        until(() -> ((UdpTransport) transports.get(1)).tooLong() == 1);
        assertTrue(got.get(1).isEmpty());
    }

    public void oneAddressTwiceIsTold() {
        InetSocketAddress one = new InetSocketAddress("127.0.0.1", 9);
        assertThrows(
                IllegalArgumentException.class,
                () -> new UdpTransport(0, one, List.of(one, one, one), MOST, (f, m) -> {}));
    }
}
