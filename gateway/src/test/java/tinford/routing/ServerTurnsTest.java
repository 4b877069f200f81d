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
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.api.Plan;
import tinford.api.Request;
import tinford.api.RequestClass;
import tinford.api.Server;
import tinford.settings.JsonFields;
import tinford.testing.IgnoredEvents;

/**
 * What comes from a server in the very turn in which something ends, or begins, here; dispatches
 * are the test's own.
 */
public class ServerTurnsTest {
    private static final String ONE = "*1\r\n$3\r\none\r\n";
    private static final double CAP = 300;
    private final AtomicLong nanos = new AtomicLong();
    private final List<AutoCloseable> open = new ArrayList<>();
    private final List<String> ended = new CopyOnWriteArrayList<>();
    private final BlockingQueue<Request> arrived = new LinkedBlockingQueue<>();
    private RequestDispatcher desk;
    private Server srv;
    private ServerSocket door;
    private Socket client;

    @BeforeMethod
    public void prepare() throws Exception {
        ended.clear();
        arrived.clear();
        InetAddress here = InetAddress.getLoopbackAddress();
        door = new ServerSocket(0, 5, here);
        door.setSoTimeout(10_000);
        open.add(door);
        IgnoredEvents inbox =
                new IgnoredEvents() {
                    @Override
                    public void endpointsUpdated(List<Server> entries, boolean whole) {
                        srv = entries.get(0);
                    }

                    @Override
                    public void requestArrived(Request req) {
                        arrived.add(req);
                    }

                    @Override
                    public void attemptEnded(
                            Request req,
                            int hop,
                            AttemptOutcome how,
                            double took,
                            boolean closed,
                            int seenUse,
                            double settled,
                            double[] load) {
                        ended.add(how + (closed ? " closed" : ""));
                        if (!closed) {
                            desk.fail(req);
                        }
                    }
                };
        desk =
                new RequestDispatcher(
                        (at, feed, out) -> feed.replay(inbox), 3, 100, 1 << 22, nanos::get);
        open.add(desk.loop::close);
        ServerPool servers = new ServerPool(desk, 250, 15_000, 10, List.of());
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
                                                Idempotency.NON_IDEMPOTENT,
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
        desk.seat(clients, servers, null, null, null);
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, here)) {
            port = free.getLocalPort();
        }
        clients.listen(new InetSocketAddress(here, port), false);
        desk.loop.execute(
                () ->
                        servers.list(
                                JsonFields.of(
                                        new JsonFactory(),
                                        "known",
                                        "{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"s\","
                                                + "\"dial\":\"127.0.0.1:"
                                                + door.getLocalPort()
                                                + "\",\"site\":\"a\",\"health\":\"ready\"}]}")));
        client = new Socket(here, port);
        client.setSoTimeout(10_000);
        open.add(client);
    }

    @AfterMethod(alwaysRun = true)
    public void clear() throws Exception {
        for (AutoCloseable c : open) {
            c.close();
        }
        open.clear();
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

    private Request ask(int n) throws InterruptedException {
        say(
                client,
                "*4\r\n$4\r\nQ.DO\r\n$16\r\n0000000000000007\r\n$16\r\n000000000000000"
                        + n
                        + "\r\n$14\r\nc=f,t=p,d=7000\r\n");
        return arrived.poll(10, TimeUnit.SECONDS);
    }

    private Socket accept(int n) throws IOException {
        Socket s = door.accept();
        s.setSoTimeout(10_000);
        open.add(s);
        StringBuilder command = new StringBuilder();
        for (int lines = 0;
                lines < 9;
                lines += command.charAt(command.length() - 1) == '\n' ? 1 : 0) {
            command.append(hear(s, 1));
        }
        assertTrue(command.indexOf("000000000000000" + n) > 0, command.toString());
        return s;
    }

    private void ping() throws IOException {
        say(client, "*1\r\n$4\r\nPING\r\n");
        assertEquals(hear(client, 7), "+PONG\r\n"); // and nothing before it
    }

    /** What has come by the time-out, and whether the sockets had been read before that. */
    @DataProvider
    public Object[][] timeOuts() {
        String flows = "*1\r\n$70000\r\n" + "x".repeat(200);
        return new Object[][] {
            {ONE, true},
            {ONE, false},
            {ONE + ONE, true},
            {"-ERR failed\r\n", true},
            {"-BUSY\r\n", true},
            {"*1\r\n$3\r\non", true},
            {flows, true},
            {flows, false}
        };
    }

    /** Timers go first: the req has its one final answer, and what came with it is nobody's. */
    @Test(dataProvider = "timeOuts")
    public void anAnswerInTheTurnOfTheTimeOutIsNoSecondOne(String comes, boolean read)
            throws Exception {
        Request req = ask(1);
        desk.loop.execute(() -> desk.sendAttempt(req, srv, CAP, 1e9));
        Socket server = accept(1);
        desk.loop.execute(
                () -> {
                    say(server, comes);
                    if (read) {
                        ((ClientRequest) req).dispatches.get(0).link.isQuiet();
                    }
                    nanos.addAndGet((long) (2 * CAP * 1e6));
                });
        String heard = hear(client, 3);
        boolean inTime =
                !read
                        && !heard.equals(
                                "-ER"); // it may be read before the timer's turn, and then is the
        // answer
        assertEquals(
                heard + hear(client, inTime ? 6 : 11),
                !inTime ? "-ERR aborted\r\n" : comes.equals(ONE) ? "$3\r\none\r\n" : "$70000\r\n");
        if (inTime && !comes.equals(ONE)) {
            return; // it flows, and no time counts
        }
        ping();
        assertEquals(ended, List.of(inTime ? "SUCCESS closed" : "TIMED_OUT"));
        if (!inTime) {
            assertEquals(server.getInputStream().read(), -1);
        }
    }

    /**
     * A second answer comes right when its connection would be used again: the next req has
     * another, and its own answer.
     */
    @Test
    public void aSecondAnswerInTheTurnOfTheNextDispatchIsNotItsAnswer() throws Exception {
        Request first = ask(1);
        desk.loop.execute(() -> desk.sendAttempt(first, srv, 0, 1e9));
        Socket server = accept(1);
        say(server, ONE);
        assertEquals(hear(client, 9), "$3\r\none\r\n");
        for (long until = System.nanoTime() + 30_000_000L; System.nanoTime() < until; ) {
            ping(); // until the connection has rested
        }
        Request second = ask(2);
        desk.loop.execute(
                () -> {
                    say(server, ONE);
                    desk.sendAttempt(second, srv, 0, 1e9);
                });
        Socket next = accept(2);
        say(next, ONE.replace("one", "two"));
        assertEquals(hear(client, 9), "$3\r\ntwo\r\n");
        assertEquals(server.getInputStream().read(), -1);
        ping();
        assertEquals(ended, List.of("SUCCESS closed", "SUCCESS closed"));
    }
}
