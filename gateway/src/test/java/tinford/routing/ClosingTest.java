package tinford.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.xnio.Options;
import org.xnio.StreamConnection;
import tinford.api.DecisionModule;
import tinford.api.DeduplicationScope;
import tinford.api.GatewayActions;
import tinford.api.Idempotency;
import tinford.api.Plan;
import tinford.api.Request;
import tinford.api.RequestClass;
import tinford.testing.IgnoredEvents;
import tinford.transport.CloseReason;
import tinford.transport.Connection;
import tinford.transport.DescriptorBudget;
import tinford.transport.EventLoop;

/**
 * The gateway's own closes of client connections, turn by turn, on real connections and in driven
 * time.
 */
public class ClosingTest {
    private static final int LONGEST = 8000; // of the client timeouts
    private static final String ABORTED = "-ERR aborted\r\n";
    private static final int PIECE = 64 << 10;
    private final AtomicLong nanos = new AtomicLong();
    private final List<AutoCloseable> open = new ArrayList<>();
    private final LinkedBlockingQueue<ClientRequest> arrived = new LinkedBlockingQueue<>();
    private final List<Long> heard = new CopyOnWriteArrayList<>(); // ids
    private final InetAddress here = InetAddress.getLoopbackAddress();
    private boolean answers; // at once, or not at all
    private boolean takesBack; // units of a req whose client has left
    private GatewayActions out;
    private RequestDispatcher desk;
    private ClientPool clients;
    private int port;

    @BeforeMethod
    public void prepare() throws Exception {
        answers = true;
        takesBack = false;
        nanos.set(0);
        arrived.clear();
        heard.clear();
        DecisionModule gateway =
                (now, feed, to) -> {
                    out = to;
                    feed.replay(
                            new IgnoredEvents() {
                                @Override
                                public void requestArrived(Request req) {
                                    heard.add(req.id);
                                    arrived.add((ClientRequest) req);
                                    if (answers) {
                                        to.fail(req);
                                    }
                                }

                                @Override
                                public void clientDisconnected(Request req) {
                                    if (takesBack) {
                                        to.incrementCounter(1, -1, 1000);
                                    }
                                }
                            });
                };
        desk = new RequestDispatcher(gateway, 3, 20, 64 << 20, nanos::get);
        clients =
                new ClientPool(
                        desk,
                        new Catalog(
                                Map.of(
                                        "f",
                                        new RequestClass(
                                                "f",
                                                2000,
                                                LONGEST,
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
        try (ServerSocket free = new ServerSocket(0, 1, here)) {
            port = free.getLocalPort();
        }
        turn(
                () -> {
                    try {
                        clients.listen(new InetSocketAddress(here, port), false);
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                });
    }

    @AfterMethod(alwaysRun = true)
    public void clear() throws Exception {
        for (AutoCloseable c : open) {
            c.close();
        }
        open.clear();
        desk.loop.close();
    }

    /** All of this in one turn; the next one is over as well when it returns. */
    private void turn(EventLoop.Task what) throws Exception {
        desk.loop.execute(what);
        for (int i = 0; i < 2; i++) {
            CountDownLatch over = new CountDownLatch(1);
            desk.loop.execute(over::countDown);
            assertTrue(over.await(20, TimeUnit.SECONDS), "the loop stands");
        }
    }

    private void pass(int ms) throws Exception {
        nanos.addAndGet(ms * 1_000_000L);
        turn(() -> {});
    }

    private Socket client(int receives) throws IOException {
        Socket s = new Socket();
        open.add(s);
        if (receives > 0) {
            s.setReceiveBufferSize(receives);
        }
        s.setTcpNoDelay(true);
        s.setSoTimeout(20_000);
        s.connect(new InetSocketAddress(here, port));
        return s;
    }

    private static void say(Socket s, String text) {
        try {
            s.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String hear(Socket s, int n) throws IOException {
        return new String(s.getInputStream().readNBytes(n), StandardCharsets.US_ASCII);
    }

    /** All up to the end; a reset is an end as well. */
    private static String rest(Socket s) throws IOException {
        StringBuilder all = new StringBuilder();
        try {
            for (int c = s.getInputStream().read(); c >= 0; c = s.getInputStream().read()) {
                all.append((char) c);
            }
        } catch (SocketException e) {
            // then this is all there is
        }
        return all.toString();
    }

    private static String ask(int n) {
        return "*4\r\n$5\r\nQ.ASK\r\n$16\r\n0000000000000007\r\n$16\r\n"
                + String.format("%016x", n)
                + "\r\n$13\r\nc=f,t=p,d=900\r\n";
    }

    /**
     * What was written before this has been read, on whichever connection, and its turn is over.
     */
    private void settle() throws Exception {
        for (int i = 0; i < 2; i++) {
            Socket other = client(0);
            say(other, "*1\r\n$4\r\nPING\r\n");
            assertEquals(hear(other, 7), "+PONG\r\n");
            other.close();
        }
        turn(() -> {});
    }

    private ClientRequest next() throws InterruptedException {
        return arrived.poll(20, TimeUnit.SECONDS);
    }

    /**
     * The end comes to a connection that must not be followed any further, and still owes the
     * answer before that.
     */
    @Test
    public void whatComesBehindNonsenseIsNotReadAtTheEnd() throws Exception {
        answers = false;
        Socket c = client(0);
        say(c, ask(1) + "+nonsense\r\n");
        ClientRequest e = next();
        say(c, ask(2));
        turn(() -> {});
        turn(() -> clients.end(() -> {}));
        turn(() -> clients.abort(e));
        pass(50);
        assertEquals(heard, List.of(1L));
        String said = rest(c);
        assertTrue(
                said.startsWith(ABORTED + "-ERR ")
                        && said.indexOf('\n', ABORTED.length()) == said.length() - 1,
                said);
    }

    /**
     * The result is how many bytes of an answer were put, of which the last are not written when
     * the leave begins.
     */
    private int leaveWithAnAnswerUnread(Socket c) throws Exception {
        answers = false;
        say(c, ask(1));
        ClientRequest e = next();
        int[] put = new int[1];
        do { // until the machine takes no more
            turn(
                    () -> {
                        clients.over(e);
                        e.client.piece(new byte[PIECE], 0, PIECE);
                        put[0] += PIECE;
                    });
        } while (e.client.isAllWritten());
        answers = true;
        turn(
                () -> {
                    e.client.piece(
                            new byte[8 * PIECE], 0, 8 * PIECE); // far more than it would still take
                    clients.leaving = true;
                    e.client.flown();
                });
        assertTrue(!e.client.isAllWritten() && !e.client.isClosed());
        return put[0] + 8 * PIECE + 2;
    }

    /**
     * It reads nothing for a while, and then all: the answer is whole, and the end comes behind it.
     */
    @Test
    public void anAnswerThatIsReadLateIsWholeBeforeTheEnd() throws Exception {
        Socket c = client(4096);
        int put = leaveWithAnAnswerUnread(c);
        pass(1500);
        assertEquals(c.getInputStream().readNBytes(put).length, put);
        assertEquals(c.getInputStream().read(), -1);
    }

    /**
     * Its sending has not been ended yet, so that it can't know: what it writes meanwhile is
     * answered behind the other.
     */
    @Test
    public void aReqBeforeTheEndOfTheSendingIsAnswered() throws Exception {
        Socket c = client(4096);
        int put = leaveWithAnAnswerUnread(c);
        say(c, ask(2));
        settle();
        assertEquals(c.getInputStream().readNBytes(put).length, put);
        assertEquals(rest(c), ABORTED);
        assertEquals(heard, List.of(1L, 2L));
    }

    /**
     * Its client has seen the end: no req is read any more, whole or in part, and the connection
     * goes soon.
     */
    @Test
    public void aReqBehindTheEndOfTheSendingIsNeverSentOn() throws Exception {
        Socket c = client(0);
        Socket other = client(0);
        say(c, ask(1));
        assertEquals(hear(c, ABORTED.length()), ABORTED);
        ClientConnection link = next().client;
        say(other, ask(2).substring(0, 30));
        say(c, ask(3).substring(0, 30));
        turn(() -> {});
        say(c, ask(3).substring(30));
        assertEquals(hear(c, ABORTED.length()), ABORTED);
        turn(clients::letGo);
        assertEquals(c.getInputStream().read(), -1);
        say(c, ask(4) + "x".repeat(200_000) + ask(5));
        say(other, ask(2).substring(30));
        assertEquals(
                hear(other, ABORTED.length()), ABORTED); // its half is owed an answer, and had it
        turn(() -> {});
        assertFalse(link.isClosed());
        pass(1000);
        assertTrue(link.isClosed());
        assertEquals(heard, List.of(1L, 3L, 2L));
    }

    @DataProvider
    public Object[][] rests() {
        return new Object[][] {{true}, {false}};
    }

    /**
     * A connection that has stood idle for too long, and a req at that moment: answered, or closed
     * without a byte.
     */
    @Test(dataProvider = "rests")
    public void aReqThatCrossesAnIdleCloseIsAnsweredOrNeverRead(boolean before) throws Exception {
        Socket c = client(0);
        say(c, ask(1));
        assertEquals(hear(c, ABORTED.length()), ABORTED);
        ClientConnection link = next().client;
        turn(
                () -> {
                    if (before) {
                        say(c, ask(2));
                    }
                    link.look(desk.now + 15_000, 2000, 2300, 15_000);
                    if (!before) {
                        try {
                            say(c, ask(2));
                        } catch (UncheckedIOException e) {
                            // its client is told here
                        }
                    }
                });
        if (before) {
            assertEquals(hear(c, ABORTED.length()), ABORTED);
        } else {
            assertEquals(rest(c), "");
            assertEquals(heard, List.of(1L));
        }
    }

    /**
     * The time to stay was over before the last who were let in could be taken: they are answered
     * all the same.
     */
    @Test
    public void thoseLetInLastAreAnsweredBeforeTheEnd() throws Exception {
        CountDownLatch gone = new CountDownLatch(1);
        Socket[] c = new Socket[1];
        boolean[] early = new boolean[1];
        turn(
                () -> {
                    try {
                        c[0] = client(0); // while this turn holds the thread
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                    say(c[0], ask(1));
                    clients.close(
                            0,
                            () -> {
                                early[0] |= heard.isEmpty();
                                gone.countDown();
                            });
                });
        assertEquals(rest(c[0]), ABORTED);
        c[0].close();
        assertTrue(gone.await(20, TimeUnit.SECONDS));
        assertFalse(early[0], "ended before they were heard");
    }

    /** What the last end causes has left before the process may go. */
    @Test
    public void unitsAreGivenBackBeforeTheEnd() throws Exception {
        takesBack = true;
        answers = false;
        ServerSocket door = new ServerSocket(0, 1, here);
        open.add(door);
        CounterClient counter =
                new CounterClient(
                        desk, new InetSocketAddress(here, door.getLocalPort()), 60_000, 60_000, 1);
        desk.seat(clients, null, counter, null, null);
        turn(() -> out.incrementCounter(1, 1, 1000));
        Socket at = door.accept();
        open.add(at);
        assertEquals(hear(at, 41).length(), 41);
        say(at, "$1\r\n1\r\n");
        Socket c = client(0);
        say(c, ask(1));
        next();
        LinkedBlockingQueue<String> counted = new LinkedBlockingQueue<>();
        turn(
                () ->
                        clients.end(
                                () -> {
                                    try {
                                        at.setSoTimeout(
                                                1000); // what has not left by now would not leave
                                        // any more
                                        counted.add(hear(at, 42));
                                    } catch (IOException e) {
                                        counted.add(e.toString());
                                    }
                                }));
        c.close();
        String said = counted.poll(20, TimeUnit.SECONDS);
        assertTrue(said != null && said.contains("\r\n-1\r\n"), said);
    }

    /**
     * All that is open when the process goes has its answer; what comes then is denied, half a
     * command is told so.
     */
    @Test
    public void nothingReadIsWithoutAnAnswerWhenTheProcessGoes() throws Exception {
        answers = false;
        Socket hangs = client(0);
        Socket half = client(0);
        Socket both = client(0);
        say(hangs, ask(1) + ask(2));
        say(half, ask(3).substring(0, 40));
        say(both, ask(4) + ask(5).substring(0, 40));
        next();
        next();
        next();
        settle();
        CountDownLatch gone = new CountDownLatch(1);
        turn(() -> clients.end(gone::countDown));
        pass(3019);
        assertEquals(half.getInputStream().available() + hangs.getInputStream().available(), 0);
        turn(
                () -> {
                    say(hangs, ask(7));
                    nanos.addAndGet(1_000_000L);
                });
        assertEquals(rest(hangs), "-BUSY\r\n".repeat(3));
        assertEquals(rest(half), "-BUSY\r\n");
        assertEquals(hear(both, 14), "-BUSY\r\n-BUSY\r\n");
        assertEquals(gone.getCount(), 1);
        pass(20);
        assertTrue(gone.await(20, TimeUnit.SECONDS));
        assertEquals(heard.size(), 3, heard.toString());
    }

    /**
     * Small writes are not held back by the machine, where a close that is a reset would take them
     * along.
     */
    @Test
    public void smallWritesLeaveAtOnce() throws Exception {
        Socket c = client(0);
        say(c, ask(1));
        ClientConnection accepted = next().client;
        assertEquals(hear(c, ABORTED.length()), ABORTED);
        assertTrue(unheld(accepted), "from clients");
        ServerSocket door = new ServerSocket(0, 1, here);
        open.add(door);
        CountDownLatch up = new CountDownLatch(1);
        final class Opened extends Connection { // as those to servers, counter and discovery
            Opened() {
                super(desk.loop, 100, 100);
                open(new InetSocketAddress(here, door.getLocalPort()), 60_000);
            }

            @Override
            protected DescriptorBudget.PeerKind party() {
                return DescriptorBudget.PeerKind.SERVERS;
            }

            @Override
            protected void onOpened() {
                up.countDown();
            }

            @Override
            protected void onReceived() {}

            @Override
            protected void onClosed(CloseReason how) {}
        }

        Opened[] link = new Opened[1];
        turn(() -> link[0] = new Opened());
        assertTrue(up.await(20, TimeUnit.SECONDS));
        assertTrue(unheld(link[0]), "opened from here");
    }

    private static boolean unheld(Connection link) throws Exception {
        var field = Connection.class.getDeclaredField("connection");
        field.setAccessible(true);
        return ((StreamConnection) field.get(link)).getOption(Options.TCP_NODELAY);
    }
}
