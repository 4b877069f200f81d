package tinford.lab.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * What links do to bytes. Silence is shown by what comes after it, or by a short wait where nothing
 * may come.
 */
public class FleetLinksTest {
    private static final int SHORT = 150;

    private static InetSocketAddress address(String text) {
        return new InetSocketAddress(
                InetAddress.getLoopbackAddress(), Integer.parseInt(text.split(":")[1]));
    }

    private static DatagramSocket gateway(FleetLinks links, int g) throws IOException {
        DatagramSocket s = new DatagramSocket(address(links.peerListen(g)));
        s.setSoTimeout(5000);
        return s;
    }

    private static void send(DatagramSocket from, String to, int n) throws IOException {
        from.send(new DatagramPacket(new byte[] {(byte) n}, 1, address(to)));
    }

    private static DatagramPacket take(DatagramSocket at) throws IOException {
        DatagramPacket p = new DatagramPacket(new byte[10], 10);
        at.receive(p);
        return p;
    }

    private static String hears(DatagramSocket at, int until) throws IOException {
        StringBuilder all = new StringBuilder();
        for (int n = -1; n != until; ) {
            n = take(at).getData()[0];
            all.append(n);
        }
        return all.toString();
    }

    /**
     * Each hears the other as from the address that it sends to; cut one way, the other goes on; to
     * all goes over the same links.
     */
    @Test
    public void datagramsKnowTheirSender() throws Exception {
        try (FleetLinks links = new FleetLinks(3, 1, p -> {}, p -> {});
                DatagramSocket a = gateway(links, 0);
                DatagramSocket b = gateway(links, 1);
                DatagramSocket c = gateway(links, 2);
                DatagramSocket stranger = new DatagramSocket()) {
            send(a, links.peers(0).get(1), 1);
            assertEquals(take(b).getSocketAddress(), address(links.peers(1).get(0)));
            send(stranger, links.peers(0).get(1), 9);
            Impairment cut = Impairment.cut(false);
            links.between(Set.of(0), Set.of(1), cut, true, false);
            send(a, links.peersAll(0), 2);
            assertEquals(hears(c, 2), "2");
            send(b, links.peers(1).get(0), 3);
            DatagramPacket p = take(a);
            assertEquals(p.getSocketAddress(), address(links.peers(0).get(1)));
            links.between(Set.of(0), Set.of(1), cut, false, false);
            links.between(Set.of(2), Set.of(2), cut, true, false); // nothing: no link to itself
            send(a, links.peers(0).get(1), 4);
            assertEquals(hears(b, 4), "4", "neither the stranger's nor what was cut");
        }
    }

    @DataProvider
    public Object[][] impairments() {
        return new Object[][] {
            {new Impairment(false, false, 0, 0, 0, 1, 0, 0), 0, 0},
            {new Impairment(false, false, 0, 0, 0, 0.5, 0, 0), 25, 75},
            {new Impairment(false, false, 0, 0, 0, 0, 1, 0), 200, 200},
            {new Impairment(false, false, 0, 0, 0, 0, 0, 0.3), 100, 100},
            {new Impairment(false, false, 20, 5, 0, 0, 0, 0), 100, 100},
            {new Impairment(false, false, 0, 0, 1, 0, 0, 0), 100, 100},
        };
    }

    /** Of 100 so many come, late as they should, and out of order only where that is wanted. */
    @Test(dataProvider = "impairments")
    public void datagramsSuffer(Impairment i, int least, int most) throws Exception {
        try (FleetLinks links = new FleetLinks(2, 3, p -> {}, p -> {});
                DatagramSocket a = gateway(links, 0);
                DatagramSocket b = gateway(links, 1)) {
            links.between(List.of(0), List.of(1), i, true, false);
            double from = System.nanoTime() / 1e6;
            for (int n = 0; n < 100; n++) {
                send(a, links.peers(0).get(1), n);
            }
            int heard = 0;
            boolean mixed = false;
            double first = 0;
            Set<Integer> known = new TreeSet<>();
            b.setSoTimeout(SHORT);
            try {
                for (int last = -1; ; heard++) {
                    int n = take(b).getData()[0] & 0xff;
                    first = heard == 0 ? System.nanoTime() / 1e6 : first;
                    mixed |= n < last;
                    last = n;
                    known.add(n);
                }
            } catch (SocketTimeoutException e) {
                // that was all
            }
            double last = System.nanoTime() / 1e6 - SHORT;
            assertTrue(heard >= least && heard <= most, i + ": " + heard);
            assertTrue(mixed || i.reordered() == 0, "in order");
            assertTrue(i.jitter() > 0 || i.reordered() > 0 || !mixed, "out of order");
            assertTrue(heard == 0 || first - from >= i.delay(), i + ": " + (first - from));
            assertTrue(
                    i.rate() == 0 || last - from >= 90,
                    "100 bytes at one a ms in " + (last - from));
        }
    }

    /**
     * Bytes wait while the way is cut, and come whole afterwards; new connections hang or are
     * refused; the end of one is passed on.
     */
    @Test
    public void streamsWaitAndHeal() throws Exception {
        List<Integer> left = new java.util.concurrent.CopyOnWriteArrayList<>();
        try (FleetLinks links = new FleetLinks(2, 1, p -> {}, left::add);
                ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            InetSocketAddress door = address(":" + links.server(1, "s", server.getLocalPort()));
            try (Socket near = new Socket(door.getAddress(), door.getPort());
                    Socket far = server.accept()) {
                assertEquals(links.from(far.getPort()), 1);
                far.setSoTimeout(SHORT);
                near.setSoTimeout(5000);
                near.getOutputStream().write(1);
                assertEquals(far.getInputStream().read(), 1);
                for (boolean refused : new boolean[] {false, true}) {
                    Impairment cut = Impairment.cut(refused);
                    links.servers(List.of(1), List.of("s"), cut, true, false);
                    FleetTest.until(
                            () ->
                                    (refused ? "ConnectException" : "SocketTimeoutException")
                                            .equals(why(door)),
                            () -> "" + why(door));
                    near.getOutputStream().write(2);
                    far.getOutputStream().write(3); // that way is whole
                    assertEquals(near.getInputStream().read(), 3);
                    try {
                        far.getInputStream().read();
                        assertTrue(false, "a byte passed a cut");
                    } catch (SocketTimeoutException e) {
                        assertTrue(far.isConnected());
                    }
                    links.servers(List.of(1), List.of("s"), cut, false, false);
                    assertEquals(far.getInputStream().read(), 2);
                    FleetTest.until(() -> why(door) == null, () -> "" + why(door));
                }
                left.clear();
                near.close();
                assertEquals(far.getInputStream().read(), -1);
                assertTrue(left.contains(far.getPort()));
            }
            links.shut("s", true);
            FleetTest.until(() -> "ConnectException".equals(why(door)), () -> "" + why(door));
            links.shut("s", false);
            FleetTest.until(() -> why(door) == null, () -> "" + why(door));
        }
    }

    /** Why no connection comes up, or null where one does. */
    private static String why(InetSocketAddress door) {
        try (Socket s = new Socket()) {
            s.connect(door, SHORT);
            return null;
        } catch (IOException e) {
            return e.getClass().getSimpleName();
        }
    }

    /**
     * Much goes through a slow, narrow stream whole and in order, and no more is held than the
     * bound.
     */
    @Test
    public void streamsKeepOrder() throws Exception {
        try (FleetLinks links = new FleetLinks(1, 1, p -> {}, p -> {});
                ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            int port = links.counter(0, server.getLocalPort());
            links.counter(
                    List.of(0), new Impairment(false, false, 5, 10, 8000, 0, 0, 0), true, true);
            byte[] much = new byte[3 << 20];
            new java.util.Random(1).nextBytes(much);
            try (Socket near = new Socket(InetAddress.getLoopbackAddress(), port);
                    Socket far = server.accept()) {
                Thread writer =
                        new Thread(
                                () -> {
                                    try {
                                        near.getOutputStream().write(much);
                                        near.shutdownOutput();
                                    } catch (IOException e) {
                                        throw new IllegalStateException(e);
                                    }
                                });
                double from = System.nanoTime() / 1e6;
                writer.start();
                assertEquals(far.getInputStream().readAllBytes(), much);
                assertTrue(System.nanoTime() / 1e6 - from >= much.length / 8000.0 * 0.9);
                writer.join();
            }
        }
    }
}
