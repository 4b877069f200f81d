package tinford.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.api.DecisionModule;
import tinford.api.DeduplicationScope;
import tinford.api.GatewayActions;
import tinford.api.Idempotency;
import tinford.api.Plan;
import tinford.api.Request;
import tinford.api.RequestClass;
import tinford.api.Server;
import tinford.settings.JsonFields;
import tinford.testing.IgnoredEvents;

/**
 * Clients that go and servers that leave while something still waits: what is heard of it, and what
 * goes out.
 */
public class LeavingTest {
    private static final int PATIENCE =
            10_000; // nothing here takes as long: it only ends a test that hangs
    private static final int ROOM = 6_000_000; // half of it for commands that come
    private final List<AutoCloseable> open = new ArrayList<>();
    private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
    private final InetAddress here = InetAddress.getLoopbackAddress();
    private InetSocketAddress at;
    private ServerSocket full; // nobody is let in there: a connection to it is never up
    private ServerSocket other;
    private RequestDispatcher desk;
    private ServerPool servers;
    private ClientPool clients;
    private GatewayActions writer;
    private Server first;
    private double within = Double.POSITIVE_INFINITY; // for a dispatch to leave
    private boolean sends; // each req goes to the first server at once
    private boolean looks; // each req's client is looked for as it comes

    @BeforeMethod
    public void prepare() throws Exception {
        sends = looks = false;
        within = Double.POSITIVE_INFINITY;
        heard.clear();
        full = new ServerSocket(0, 1, here);
        open.add(full);
        for (int i = 0; i < 2; i++) {
            open.add(new Socket(here, full.getLocalPort()));
        }
        other = new ServerSocket();
        other.setReceiveBufferSize(4096);
        other.bind(new InetSocketAddress(here, 0));
        other.setSoTimeout(PATIENCE);
        open.add(other);
        DecisionModule gateway =
                (now, feed, out) -> {
                    writer = out;
                    feed.replay(
                            new IgnoredEvents() {
                                @Override
                                public void endpointsUpdated(List<Server> entries, boolean whole) {
                                    first = first == null ? entries.get(0) : first;
                                }

                                @Override
                                public void requestArrived(Request req) {
                                    heard.add(
                                            "arrived"
                                                    + (looks
                                                            ? " "
                                                                    + req.id
                                                                    + (req.clientGone()
                                                                            ? " and gone"
                                                                            : " and there")
                                                            : ""));
                                    if (sends) {
                                        out.sendAttempt(req, first, 0, within);
                                    }
                                }

                                @Override
                                public void clientDisconnected(Request req) {
                                    heard.add("left");
                                }

                                @Override
                                public void attemptEnded(
                                        Request req,
                                        int no,
                                        AttemptOutcome how,
                                        double took,
                                        boolean closed,
                                        int seenUse,
                                        double settled,
                                        double[] load) {
                                    heard.add("ended " + how);
                                }
                            });
                };
        desk = new RequestDispatcher(gateway, 3, 30, 1 << 26);
        open.add(desk.loop::close);
        servers = new ServerPool(desk, 2.0 * PATIENCE, 15_000, 10, List.of());
        clients =
                new ClientPool(
                        desk,
                        new Catalog(
                                Map.of(
                                        "f",
                                        new RequestClass(
                                                "f",
                                                20_000,
                                                80_000,
                                                1,
                                                0,
                                                Idempotency.IDEMPOTENT,
                                                DeduplicationScope.ALL,
                                                0,
                                                false),
                                        "w",
                                        new RequestClass(
                                                "w",
                                                20_000,
                                                80_000,
                                                1,
                                                0,
                                                Idempotency.NON_IDEMPOTENT,
                                                DeduplicationScope.ALL,
                                                0,
                                                false)),
                                Map.of("p", new Plan("p", 0, 0, 0, 1, 0, 0, 0, 0, 0))),
                        1,
                        6,
                        15_000,
                        10,
                        ROOM,
                        8,
                        8);
        desk.seat(clients, servers, null, null, null);
        try (ServerSocket free = new ServerSocket(0, 1, here)) {
            at = new InetSocketAddress(here, free.getLocalPort());
        }
        first = null;
        turn(() -> list(true, entry("s0", full, "ready", 0), entry("s1", other, "ready", 0)));
        clients.listen(at, false);
    }

    @AfterMethod(alwaysRun = true)
    public void clear() throws Exception {
        for (AutoCloseable c : open) {
            c.close();
        }
        open.clear();
    }

    private static String entry(String id, ServerSocket at, String health, int born) {
        return "{\"host\":\""
                + id
                + "\",\"dial\":\"127.0.0.1:"
                + at.getLocalPort()
                + "\",\"site\":\"a\",\"block\":0,\"health\":\""
                + health
                + "\",\"share\":1.0,\"born_ms\":"
                + born
                + "}";
    }

    private void list(boolean whole, String... entries) {
        servers.list(
                JsonFields.of(
                        new JsonFactory(),
                        "list",
                        "{\"seq\":1,\"whole\":"
                                + whole
                                + ",\"hosts\":["
                                + String.join(",", entries)
                                + "]}"));
    }

    /** Within one turn of the loop: nothing that comes meanwhile has been read. */
    private void turn(Runnable what) {
        BlockingQueue<Object> done = new LinkedBlockingQueue<>();
        desk.loop.execute(
                () -> {
                    try {
                        what.run();
                        done.add(true);
                    } catch (RuntimeException | AssertionError e) {
                        done.add(e);
                    }
                });
        try {
            assertEquals(done.poll(PATIENCE, TimeUnit.MILLISECONDS), true);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static String ask(int id) {
        return command("Q.ASK", "0000000000000007", String.format("%016x", id), "c=f,t=p,d=60000");
    }

    private static String command(String... words) {
        StringBuilder s = new StringBuilder("*" + words.length + "\r\n");
        for (String w : words) {
            s.append("$").append(w.length()).append("\r\n").append(w).append("\r\n");
        }
        return s.toString();
    }

    private Socket client() throws IOException {
        Socket s = new Socket(here, at.getPort());
        s.setSoTimeout(PATIENCE);
        open.add(s);
        return s;
    }

    private static void say(Socket s, String text) {
        try {
            s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private String hear() throws InterruptedException {
        return String.valueOf(heard.poll(PATIENCE, TimeUnit.MILLISECONDS));
    }

    private static void go(Socket s, String how) {
        try {
            switch (how) {
                case "closes" -> s.close();
                case "resets" -> {
                    s.setSoLinger(true, 0);
                    s.close();
                }
                default -> s.shutdownOutput();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @DataProvider
    public Object[][] goings() {
        return new Object[][] {{"closes"}, {"resets"}, {"ends its sending"}};
    }

    /** The dispatch's connection may come up long after: it must not leave then. */
    @Test(dataProvider = "goings")
    public void whatWaitsForAConnectionGoesWithItsClient(String how) throws Exception {
        sends = true;
        Socket s = client();
        say(s, ask(1));
        assertEquals(hear(), "arrived");
        go(s, how);
        assertEquals(hear(), "left");
        assertEquals(hear(), "ended NOT_SENT");
    }

    /** Answered at the process's end, it must not leave in the moments that are left. */
    @Test
    public void whatWaitsForAConnectionGoesWithTheProcess() throws Exception {
        sends = true;
        Socket s = client();
        say(s, ask(1));
        assertEquals(hear(), "arrived");
        turn(() -> clients.end(() -> {}));
        String answer = "-ERR aborted\r\n";
        assertEquals(
                new String(
                        s.getInputStream().readNBytes(answer.length()),
                        StandardCharsets.ISO_8859_1),
                answer);
        assertEquals(hear(), "left");
        assertEquals(hear(), "ended NOT_SENT");
    }

    @DataProvider
    public Object[][] leavings() {
        return new Object[][] {
            {"draining"}, {"gone"}, {"not listed"}, {"moved"}, {"started anew"}, {"taken out"}
        };
    }

    /**
     * Nothing of it has left: it is void, and goes elsewhere, rather than reach a server that wants
     * nothing new.
     */
    @Test(dataProvider = "leavings")
    public void whatWaitsForAConnectionDoesNotReachAServerThatLeaves(String how) throws Exception {
        sends = true;
        say(client(), ask(1));
        assertEquals(hear(), "arrived");
        turn(
                () -> {
                    switch (how) {
                        case "not listed" -> list(true, entry("s1", other, "ready", 0));
                        case "moved" -> list(false, entry("s0", other, "ready", 0));
                        case "started anew" -> list(false, entry("s0", full, "ready", 77));
                        case "taken out" -> servers.ban("suspend 5 s0");
                        default -> list(false, entry("s0", full, how, 0));
                    }
                });
        assertEquals(hear(), "ended NOT_SENT");
    }

    /**
     * What may go out within a time only is withdrawn after it, however long its connection may
     * take.
     */
    @Test
    public void whatHasNotLeftInItsTimeIsWithdrawn() throws Exception {
        sends = true;
        within = 50;
        say(client(), ask(1));
        assertEquals(hear(), "arrived");
        assertEquals(hear(), "ended NOT_SENT");
        first = null;
        turn(() -> list(true, entry("s1", other, "ready", 0)));
        within = PATIENCE;
        say(client(), ask(2));
        Socket server = other.accept();
        open.add(server);
        byte[] whole = ask(2).getBytes(StandardCharsets.ISO_8859_1);
        assertTrue(
                new String(
                                server.getInputStream().readNBytes(whole.length),
                                StandardCharsets.ISO_8859_1)
                        .startsWith("*4"));
        assertEquals(hear(), "arrived");
        say(server, "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n");
        assertEquals(hear(), "ended SUCCESS");
    }

    /** A command that its server does not read has not left whole: the rest of it stays here. */
    @Test
    public void aLongCommandHalfWrittenEndsWithItsClient() throws Exception {
        sends = true;
        first = null;
        turn(() -> list(true, entry("s1", other, "ready", 0)));
        Socket s = client();
        String body = "x".repeat(4 << 20);
        say(s, command("Q.DO", "0000000000000007", "0000000000000001", "c=w,t=p,d=60000", body));
        Socket server = other.accept();
        open.add(server);
        assertEquals(hear(), "arrived");
        go(s, "closes");
        assertEquals(hear(), "left");
        assertEquals(hear(), "ended NOT_SENT");
    }

    /**
     * Looked for before each dispatch: nobody may have read its end yet, nor what it sent before
     * that.
     */
    @Test(dataProvider = "goings")
    public void aClientThatHasGoneIsSeenBeforeItsEndIsRead(String how) throws Exception {
        looks = true;
        Socket s = client();
        turn(
                () -> {
                    say(s, ask(1));
                    go(s, how);
                });
        say(client(), ask(2));
        String next = hear();
        for (; !next.equals("arrived 2 and there"); next = hear()) {
            assertTrue(next.equals("arrived 1 and gone") || next.equals("left"), next);
        }
    }

    private static String halfOfALongOne(int id) {
        return command(
                        "Q.DO",
                        "0000000000000007",
                        String.format("%016x", id),
                        "c=w,t=p,d=60000",
                        "x".repeat(4 << 20))
                .substring(0, 70_000);
    }

    private static String unread(String what) {
        return switch (what) {
            case "noise" -> "noise\r\n\r\n" + "x".repeat(3000);
            case "noise without end" -> "x".repeat(900_000);
            case "a command that there is no room for" -> halfOfALongOne(9);
            default ->
                    IntStream.range(2, 80).mapToObj(LeavingTest::ask).collect(Collectors.joining());
        };
    }

    @DataProvider
    public Object[][] unread() {
        return new Object[][] {
            {"noise"},
            {"noise without end"},
            {"a command that there is no room for"},
            {"many that wait"}
        };
    }

    /** Its end is heard while a req of it is open, whatever lies before it on the connection. */
    @Test(dataProvider = "unread", timeOut = 3 * PATIENCE)
    public void anEndIsHeardBehindWhatIsNotRead(String what) throws Exception {
        say(client(), halfOfALongOne(8)); // takes the room, and does not go on
        Socket s = client();
        say(s, ask(1));
        assertEquals(hear(), "arrived");
        say(s, unread(what));
        go(s, "closes");
        String next = hear();
        while (next.equals("arrived")) {
            next = hear();
        }
        assertEquals(next, "left");
    }

    /**
     * What there is no room for is denied where reqs before it are open, and passed over: what
     * comes behind it is read.
     */
    @Test(timeOut = 3 * PATIENCE)
    public void whatIsPassedOverLeavesTheRestInOrder() throws Exception {
        say(client(), halfOfALongOne(8));
        Socket s = client();
        sends = true;
        first = null;
        turn(() -> list(true, entry("s1", other, "ready", 0)));
        say(s, ask(1));
        Socket server = other.accept();
        open.add(server);
        String whole =
                command(
                        "Q.DO",
                        "0000000000000007",
                        "0000000000000009",
                        "c=w,t=p,d=60000",
                        "x".repeat(4 << 20));
        say(s, whole + command("PING"));
        say(server, "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n");
        String answers = "$2\r\nok\r\n-BUSY\r\n+PONG\r\n";
        assertEquals(
                new String(
                        s.getInputStream().readNBytes(answers.length()),
                        StandardCharsets.ISO_8859_1),
                answers);
    }
}
