package tinford.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.api.DecisionModule;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.api.Plan;
import tinford.api.Request;
import tinford.api.RequestClass;
import tinford.decision.DecisionFixture;
import tinford.transport.CloseReason;
import tinford.transport.EventLoop;

/** What the ends of connections mean, addresses, and the messages between gateways. */
public class RoutingTest {
    @DataProvider
    public Object[][] ends() {
        return new Object[][] {
            {CloseReason.CONNECT_REFUSED, AttemptOutcome.UNREACHABLE, AttemptOutcome.UNREACHABLE},
            {CloseReason.CONNECT_TIMEOUT, AttemptOutcome.UNREACHABLE, AttemptOutcome.UNREACHABLE},
            {CloseReason.NO_DESCRIPTOR, AttemptOutcome.UNREACHABLE, AttemptOutcome.UNREACHABLE},
            {CloseReason.IO_ERROR, AttemptOutcome.UNREACHABLE, AttemptOutcome.CONNECTION_LOST},
            {
                CloseReason.CLOSED_BY_PEER,
                AttemptOutcome.UNREACHABLE,
                AttemptOutcome.CONNECTION_LOST
            },
            {
                CloseReason.PROTOCOL_ERROR,
                AttemptOutcome.UNREACHABLE,
                AttemptOutcome.CONNECTION_LOST
            },
            {
                CloseReason.BUFFER_LIMIT_EXCEEDED,
                AttemptOutcome.UNREACHABLE,
                AttemptOutcome.CONNECTION_LOST
            },
            {CloseReason.CLOSED_IDLE, AttemptOutcome.UNREACHABLE, AttemptOutcome.CONNECTION_LOST},
            {CloseReason.RESPONSE_TIMEOUT, AttemptOutcome.UNREACHABLE, AttemptOutcome.TIMED_OUT},
            {CloseReason.STALLED, AttemptOutcome.UNREACHABLE, AttemptOutcome.CONNECTION_LOST},
            {CloseReason.CANCELLED, AttemptOutcome.NOT_SENT, AttemptOutcome.CANCELLED},
        };
    }

    @Test(dataProvider = "ends")
    public void endsSayWhatMayHaveRun(
            CloseReason how, AttemptOutcome before, AttemptOutcome after) {
        assertEquals(OutcomeMapping.ofDispatch(how, false), before);
        assertEquals(OutcomeMapping.ofDispatch(how, true), after);
        assertEquals(
                OutcomeMapping.ofCall(how, false),
                how == CloseReason.RESPONSE_TIMEOUT
                        ? AttemptOutcome.TIMED_OUT
                        : AttemptOutcome.UNREACHABLE);
        // only silence in the whole of a call's time tells of what the counter bears
        assertEquals(
                OutcomeMapping.ofCall(how, true),
                how == CloseReason.RESPONSE_TIMEOUT
                        ? AttemptOutcome.TIMED_OUT
                        : after.mayHaveRun
                                ? AttemptOutcome.CONNECTION_LOST
                                : AttemptOutcome.UNREACHABLE);
    }

    /**
     * Guards discovery against a fleet that it turned away together: all come back, each at its own
     * time, ever more rarely.
     */
    @Test
    public void aFleetTurnedAwayTogetherComesBackSpread() {
        int[] first = new int[10];
        for (int gateway = 0; gateway < 1000; gateway++) {
            Backoff again =
                    new Backoff(200, 500, new java.util.Random(gateway * 0x9E3779B97F4A7C15L));
            double at = again.next();
            first[(int) ((at - 100) / 20)]++; // from 100 to 300 ms
            double mean = 200;
            for (int turn = 0; turn < 6; turn++) {
                mean = Math.min(500, 2 * mean);
                double wait = again.next();
                assertTrue(wait >= 0.5 * mean && wait < 1.5 * mean, turn + ": " + wait);
            }
            again.heard();
            assertTrue(again.next() < 300);
        }
        for (int part : first) {
            assertTrue(part > 50 && part < 150, part + " of a thousand in a tenth of the time");
        }
    }

    @DataProvider
    public Object[][] addresses() {
        return new Object[][] {
            {"127.0.0.1:80", true},
            {"[::1]:80", true},
            {"127.0.0.1", false},
            {"127.0.0.1:0", false},
            {"127.0.0.1:65536", false},
            {"host.example:80", false},
            {":80", false},
            {"127.0.0.1:x", false},
        };
    }

    @Test(dataProvider = "addresses")
    public void addressesAreNumeric(String text, boolean good) {
        assertEquals(Addresses.of(text) != null, good);
    }

    @Test
    public void onlyShortMessagesOfListedPeersAreHeard() throws Exception {
        InetAddress here = InetAddress.getLoopbackAddress();
        LinkedBlockingQueue<String> heard = new LinkedBlockingQueue<>();
        DecisionModule gateway =
                (now, feed, out) ->
                        feed.replay(
                                new DecisionFixture.Deaf() {
                                    @Override
                                    public void gossipReceived(int peer, String text) {
                                        heard.add(peer + " " + text);
                                        out.sendGossip(peer, "re " + text);
                                        out.sendGossip(peer, "x".repeat(257));
                                        out.sendGossip(-1, "all");
                                    }
                                });
        try (DatagramSocket peer = new DatagramSocket(0, here);
                DatagramSocket other = new DatagramSocket(0, here);
                DatagramSocket all = new DatagramSocket(0, here)) {
            InetSocketAddress listen;
            try (DatagramSocket free = new DatagramSocket(0, here)) {
                listen = address(free);
            }
            RequestDispatcher desk = new RequestDispatcher(gateway, 3, 10, 1 << 20);
            PeerMessenger peers =
                    new PeerMessenger(
                            desk,
                            listen,
                            List.of(new InetSocketAddress(here, 9), address(peer)),
                            address(all));
            desk.seat(null, null, null, null, peers);
            send(other, listen, "stranger");
            send(peer, listen, "x".repeat(257));
            send(peer, listen, "hi");
            assertEquals(heard.poll(10, TimeUnit.SECONDS), "1 hi");
            assertEquals(heard.size(), 0);
            assertEquals(receive(peer), "re hi");
            assertEquals(receive(all), "all");
            desk.loop.close();
        }
    }

    @DataProvider
    public Object[][] closes() {
        return new Object[][] {{"room"}, {"end"}, {"end, crossed"}, {"let go, crossed"}};
    }

    /**
     * What has come by the time its connection would go for a new one, or at SIGTERM, is answered,
     * though nobody has read it; so is what comes in the very turn in which the end was begun.
     */
    @Test(dataProvider = "closes")
    public void aReqUnreadKeepsItsConnection(String how) throws Exception {
        DecisionModule gateway =
                (now, feed, out) ->
                        feed.replay(
                                new DecisionFixture.Deaf() {
                                    @Override
                                    public void requestArrived(Request req) {
                                        out.fail(req);
                                    }
                                });
        RequestDispatcher desk = new RequestDispatcher(gateway, 3, 10, 1 << 20);
        ClientPool clients =
                new ClientPool(
                        desk,
                        new Catalog(
                                Map.of(
                                        "f",
                                        new RequestClass(
                                                "f",
                                                2000,
                                                8000,
                                                1,
                                                0,
                                                Idempotency.IDEMPOTENT,
                                                DeduplicationScope.ALL,
                                                0,
                                                false)),
                                Map.of("p", new Plan("p", 0, 0, 0, 1, 0, 0, 0, 0, 0))),
                        1,
                        6,
                        15_000,
                        10,
                        1 << 20,
                        8,
                        8);
        desk.seat(clients, null, null, null, null);
        InetAddress here = InetAddress.getLoopbackAddress();
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, here)) {
            port = free.getLocalPort();
        }
        clients.listen(new InetSocketAddress(here, port), false);
        try (Socket longest = new Socket(here, port);
                Socket next = new Socket(here, port)) {
            for (Socket s : List.of(longest, next)) {
                s.setSoTimeout(10_000);
                s.getOutputStream()
                        .write("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII));
                assertEquals(
                        new String(s.getInputStream().readNBytes(7), StandardCharsets.US_ASCII),
                        "+PONG\r\n");
            }
            EventLoop.Task write =
                    () -> {
                        try {
                            longest.getOutputStream()
                                    .write(
                                            ("*4\r\n"
                                                            + "$5\r\n"
                                                            + "Q.ASK\r\n"
                                                            + "$16\r\n"
                                                            + "0000000000000007\r\n"
                                                            + "$16\r\n"
                                                            + "0000000000000001\r\n"
                                                            + "$13\r\n"
                                                            + "c=f,t=p,d=900\r\n")
                                                    .getBytes(StandardCharsets.US_ASCII));
                        } catch (IOException e) {
                            throw new UncheckedIOException(e);
                        }
                    };
            desk.loop.execute(
                    () -> {
                        if (!how.endsWith("crossed")) {
                            write.run();
                        }
                        switch (how.split(",")[0]) {
                            case "room" -> clients.makeRoom(ClientConnection.JUST_COME);
                            case "end" -> clients.end(() -> {});
                            default -> clients.letGo();
                        }
                        if (how.endsWith("crossed")) {
                            write.run();
                        }
                    });
            assertEquals(
                    new String(longest.getInputStream().readNBytes(14), StandardCharsets.US_ASCII),
                    "-ERR aborted\r\n");
            assertEquals(next.getInputStream().read(), -1);
        }
        desk.loop.close();
    }

    /**
     * Room is made for a crowd in the very turn in which a req is answered: its answer leaves all
     * the same.
     */
    @Test
    public void anAnswerOfThisTurnIsNotClosedUpon() throws Exception {
        ClientPool[] clients = new ClientPool[1];
        DecisionModule gateway =
                (now, feed, out) ->
                        feed.replay(
                                new DecisionFixture.Deaf() {
                                    @Override
                                    public void requestArrived(Request req) {
                                        out.fail(req);
                                        clients[0].makeRoom(ClientConnection.BUSY);
                                    }
                                });
        RequestDispatcher desk = new RequestDispatcher(gateway, 3, 10, 1 << 20);
        clients[0] =
                new ClientPool(
                        desk,
                        new Catalog(
                                Map.of(
                                        "f",
                                        new RequestClass(
                                                "f",
                                                2000,
                                                8000,
                                                1,
                                                0,
                                                Idempotency.IDEMPOTENT,
                                                DeduplicationScope.ALL,
                                                0,
                                                false)),
                                Map.of("p", new Plan("p", 0, 0, 0, 1, 0, 0, 0, 0, 0))),
                        1,
                        6,
                        15_000,
                        10,
                        1 << 20,
                        8,
                        8);
        desk.seat(clients[0], null, null, null, null);
        InetAddress here = InetAddress.getLoopbackAddress();
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, here)) {
            port = free.getLocalPort();
        }
        clients[0].listen(new InetSocketAddress(here, port), false);
        try (Socket s = new Socket(here, port)) {
            s.setSoTimeout(10_000);
            s.getOutputStream()
                    .write(
                            ("*4\r\n"
                                            + "$5\r\n"
                                            + "Q.ASK\r\n"
                                            + "$16\r\n"
                                            + "0000000000000007\r\n"
                                            + "$16\r\n"
                                            + "0000000000000001\r\n"
                                            + "$13\r\n"
                                            + "c=f,t=p,d=900\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            assertEquals(
                    new String(s.getInputStream().readNBytes(14), StandardCharsets.US_ASCII),
                    "-ERR aborted\r\n");
        }
        desk.loop.close();
    }

    /**
     * A call that was given up keeps its place: its late answer is told as such, not taken for the
     * next one's.
     */
    @Test
    public void lateAnswerOfTheCounterIsNotTheNextOne() throws Exception {
        LinkedBlockingQueue<String> counted = new LinkedBlockingQueue<>();
        DecisionModule gateway =
                (now, feed, out) ->
                        feed.replay(
                                new DecisionFixture.Deaf() {
                                    @Override
                                    public void counterAnswered(
                                            long name,
                                            AttemptOutcome how,
                                            double took,
                                            double total) {
                                        counted.add(name + " " + how + " " + total);
                                    }

                                    @Override
                                    public void counterAnsweredLate(long name, double total) {
                                        counted.add(name + " late " + total);
                                    }
                                });
        try (ServerSocket door = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            RequestDispatcher desk = new RequestDispatcher(gateway, 3, 10, 1 << 20);
            CounterClient counter =
                    new CounterClient(
                            desk,
                            new InetSocketAddress(door.getInetAddress(), door.getLocalPort()),
                            60_000,
                            50,
                            1);
            desk.loop.execute(() -> counter.add(1, 2.5, 1000));
            try (Socket s = door.accept()) {
                assertEquals(
                        new String(s.getInputStream().readNBytes(48), StandardCharsets.US_ASCII),
                        "*4\r\n$7\r\nCNT.ADD\r\n$1\r\n1\r\n$8\r\n2.500000\r\n$4\r\n1000\r\n");
                assertEquals(counted.poll(10, TimeUnit.SECONDS), "1 TIMED_OUT 0.0");
                s.getOutputStream().write("$1\r\n4\r\n".getBytes(StandardCharsets.US_ASCII));
                desk.loop.execute(() -> counter.add(2, 1, 1000));
                s.getInputStream().readNBytes(41);
                s.getOutputStream().write("$1\r\n7\r\n".getBytes(StandardCharsets.US_ASCII));
                assertEquals(counted.poll(10, TimeUnit.SECONDS), "1 late 4.0");
                assertEquals(counted.poll(10, TimeUnit.SECONDS), "2 SUCCESS 7.0");
            }
            desk.loop.close();
        }
    }

    /**
     * What the counter owes where it was is waited for there, and calls made since do not overtake
     * it.
     */
    @Test
    public void counterThatMovesKeepsTheOrderOfAnswers() throws Exception {
        LinkedBlockingQueue<String> counted = new LinkedBlockingQueue<>();
        DecisionModule gateway =
                (now, feed, out) ->
                        feed.replay(
                                new DecisionFixture.Deaf() {
                                    @Override
                                    public void counterAnswered(
                                            long name,
                                            AttemptOutcome how,
                                            double took,
                                            double total) {
                                        counted.add(name + " " + how + " " + total);
                                    }
                                });
        InetAddress here = InetAddress.getLoopbackAddress();
        try (ServerSocket old = new ServerSocket(0, 1, here);
                ServerSocket next = new ServerSocket(0, 1, here)) {
            RequestDispatcher desk = new RequestDispatcher(gateway, 3, 10, 1 << 20);
            CounterClient counter =
                    new CounterClient(
                            desk,
                            new InetSocketAddress(here, old.getLocalPort()),
                            60_000,
                            60_000,
                            1);
            desk.loop.execute(() -> counter.add(1, 1, 1000));
            try (Socket before = old.accept()) {
                before.getInputStream().readNBytes(41);
                desk.loop.execute(
                        () -> counter.move(new InetSocketAddress(here, next.getLocalPort())));
                desk.loop.execute(() -> counter.add(1, 2, 1000));
                try (Socket after = next.accept()) {
                    before.getOutputStream()
                            .write("$1\r\n4\r\n".getBytes(StandardCharsets.US_ASCII));
                    assertEquals(counted.poll(10, TimeUnit.SECONDS), "1 SUCCESS 4.0");
                    assertEquals(before.getInputStream().read(), -1);
                    after.getInputStream().readNBytes(41);
                    after.getOutputStream()
                            .write("$1\r\n6\r\n".getBytes(StandardCharsets.US_ASCII));
                    assertEquals(counted.poll(10, TimeUnit.SECONDS), "1 SUCCESS 6.0");
                }
            }
            desk.loop.close();
        }
    }

    @DataProvider
    public Object[][] spoiltTotals() {
        return new Object[][] {
            {"\u00c6\u00b3\r\n", 1},
            {"$2\r\nno\r\n", 1},
            {"$3\r\nNaN\r\n", 1},
            {":5\r\n", 1},
            {"-?\r\n", 1},
            {"*1\r\n$1\r\n5\r\n", 1},
            {"$-1\r\n", 1},
            {"$9\r\n1", 1},
            {"$1\r\n5\r\n$1\r\n6\r\n$1\r\n7\r\n", 2},
            {"x".repeat(3000), 1},
        };
    }

    /**
     * What carries no total has been added and says nothing more; the calls behind it go on
     * elsewhere at once.
     */
    @Test(dataProvider = "spoiltTotals")
    public void spoiltTotalCostsItsConnectionOnly(String text, int answers) throws Exception {
        LinkedBlockingQueue<String> counted = new LinkedBlockingQueue<>();
        DecisionModule gateway =
                (now, feed, out) ->
                        feed.replay(
                                new DecisionFixture.Deaf() {
                                    @Override
                                    public void counterAnswered(
                                            long name,
                                            AttemptOutcome how,
                                            double took,
                                            double total) {
                                        counted.add(name + " " + how + " " + total);
                                    }
                                });
        try (ServerSocket door = new ServerSocket(0, 2, InetAddress.getLoopbackAddress())) {
            RequestDispatcher desk = new RequestDispatcher(gateway, 3, 10, 1 << 20);
            CounterClient counter =
                    new CounterClient(
                            desk,
                            new InetSocketAddress(door.getInetAddress(), door.getLocalPort()),
                            60_000,
                            60_000,
                            1);
            desk.loop.execute(() -> counter.add(1, 1, 1000));
            desk.loop.execute(() -> counter.add(2, 1, 1000));
            try (Socket s = door.accept()) {
                s.getInputStream().readNBytes(82);
                s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
                assertEquals(
                        counted.poll(10, TimeUnit.SECONDS),
                        answers == 2 ? "1 SUCCESS 5.0" : "1 CONNECTION_LOST 0.0");
                assertEquals(
                        counted.poll(10, TimeUnit.SECONDS),
                        answers == 2 ? "2 SUCCESS 6.0" : "2 CONNECTION_LOST 0.0");
                try (Socket next = door.accept()) {
                    desk.loop.execute(() -> counter.add(3, 1, 1000));
                    next.getInputStream().readNBytes(41);
                    next.getOutputStream().write("$1\r\n8\r\n".getBytes(StandardCharsets.US_ASCII));
                    assertEquals(counted.poll(10, TimeUnit.SECONDS), "3 SUCCESS 8.0");
                }
            }
            desk.loop.close();
        }
    }

    /** A counter that was gone is found again without a call that would have to fail first. */
    @Test
    public void counterThatComesBackIsConnectedTo() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        RequestDispatcher desk =
                new RequestDispatcher(
                        (now, feed, out) -> feed.replay(new DecisionFixture.Deaf()),
                        3,
                        10,
                        1 << 20);
        CounterClient counter =
                new CounterClient(
                        desk,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                        20,
                        50,
                        1);
        desk.loop.execute(counter::connect);
        try (ServerSocket door = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            door.setSoTimeout(10_000);
            door.accept().close();
            door.accept().close();
        }
        desk.loop.close();
    }

    private static InetSocketAddress address(DatagramSocket s) {
        return new InetSocketAddress(s.getLocalAddress(), s.getLocalPort());
    }

    private static void send(DatagramSocket from, InetSocketAddress to, String text)
            throws Exception {
        byte[] b = text.getBytes(StandardCharsets.UTF_8);
        from.send(new DatagramPacket(b, b.length, to));
    }

    private static String receive(DatagramSocket at) throws Exception {
        at.setSoTimeout(10_000);
        DatagramPacket p = new DatagramPacket(new byte[1000], 1000);
        at.receive(p);
        return new String(p.getData(), 0, p.getLength(), StandardCharsets.UTF_8);
    }
}
