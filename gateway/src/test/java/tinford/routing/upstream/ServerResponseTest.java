package tinford.routing.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.routing.RoutingFixtures.ABORTED;
import static tinford.routing.RoutingFixtures.LOOPBACK;
import static tinford.routing.RoutingFixtures.PING;
import static tinford.routing.RoutingFixtures.PONG;
import static tinford.routing.RoutingFixtures.doCommand;
import static tinford.routing.RoutingFixtures.endpointList;
import static tinford.routing.RoutingFixtures.hostEntry;
import static tinford.routing.RoutingFixtures.read;
import static tinford.routing.RoutingFixtures.write;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
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
import tinford.api.Idempotency;
import tinford.api.Request;
import tinford.api.Server;
import tinford.routing.RoutingFixtures;
import tinford.routing.client.ClientPool;
import tinford.routing.client.ClientRequest;
import tinford.routing.dispatch.RequestDispatcher;
import tinford.testing.FreePort;
import tinford.testing.IgnoredEvents;

/**
 * Guards against responses that are attributed to the wrong attempt or answer a request twice. The
 * responses arrive in the same batch in which an attempt times out or the next one is sent. The
 * test sends the attempts itself.
 */
public class ServerResponseTest {
    private static final String ONE = "*1\r\n$3\r\none\r\n";
    private static final String ANSWER_ONE = "$3\r\none\r\n";
    private static final double TIMEOUT_MS = 300;
    private static final double NO_SEND_DEADLINE_MS = 1e9;
    private static final int REQUEST_TIMEOUT_MS = 7000;
    private static final int COMMAND_LINES = 9;

    /** Time after which a connection may be reused. */
    private static final long REUSE_DELAY_NANOS = 30_000_000L;

    private final AtomicLong nanoTime = new AtomicLong();
    private final List<AutoCloseable> resources = new ArrayList<>();
    private final List<String> ended = new CopyOnWriteArrayList<>();
    private final BlockingQueue<Request> requests = new LinkedBlockingQueue<>();
    private RequestDispatcher dispatcher;
    private volatile Server server;
    private ServerSocket serverSocket;
    private Socket client;

    @BeforeMethod
    public void start() throws Exception {
        ended.clear();
        requests.clear();
        serverSocket = new ServerSocket(0, 5, LOOPBACK);
        serverSocket.setSoTimeout(10_000);
        resources.add(serverSocket);
        dispatcher =
                new RequestDispatcher(
                        RoutingFixtures.decisions(new Recorder()), 3, 100, 1 << 22, nanoTime::get);
        resources.add(dispatcher.loop()::close);
        ServerPool servers = new ServerPool(dispatcher, dispatcher, 250, 15_000, 10, List.of());
        ClientPool clients =
                new ClientPool(
                        dispatcher,
                        RoutingFixtures.catalog(
                                RoutingFixtures.requestClass(
                                        "f", 8000, Idempotency.NON_IDEMPOTENT)),
                        RoutingFixtures.clientLimits(1 << 20));
        dispatcher.attach(clients, servers, null, null, null);
        int port = FreePort.find();
        clients.listen(new InetSocketAddress(LOOPBACK, port), false);
        String entry = hostEntry("s", serverSocket, "ready", 0);
        dispatcher
                .loop()
                .execute(() -> servers.updateEndpoints(endpointList(true, List.of(entry))));
        client = new Socket(LOOPBACK, port);
        client.setSoTimeout(10_000);
        resources.add(client);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        resources.clear();
    }

    /** Records requests and outcomes; fails a request whose attempt ended without an answer. */
    private final class Recorder extends IgnoredEvents {
        @Override
        public void endpointsUpdated(List<Server> entries, boolean complete) {
            server = entries.get(0);
        }

        @Override
        public void requestArrived(Request request) {
            requests.add(request);
        }

        @Override
        public void attemptEnded(
                Request request,
                int attempt,
                AttemptOutcome outcome,
                double tookMs,
                boolean requestEnded,
                int meteredUse,
                double settledUnits,
                double[] loadReport) {
            ended.add(outcome + (requestEnded ? " closed" : ""));
            if (!requestEnded) {
                dispatcher.fail(request);
            }
        }
    }

    private Request request(int id) throws InterruptedException {
        write(client, doCommand(id, "f", REQUEST_TIMEOUT_MS));
        return requests.poll(10, TimeUnit.SECONDS);
    }

    /** Accepts the server's next connection, and reads the command with the id from it. */
    private Socket acceptCommand(int id) throws IOException {
        Socket socket = serverSocket.accept();
        socket.setSoTimeout(10_000);
        resources.add(socket);
        StringBuilder command = new StringBuilder();
        int lines = 0;
        while (lines < COMMAND_LINES) {
            command.append(read(socket, 1));
            lines += command.charAt(command.length() - 1) == '\n' ? 1 : 0;
        }
        assertTrue(command.indexOf("000000000000000" + id) > 0, command.toString());
        return socket;
    }

    /** Sends a PING, and checks that its answer is the next data that the client receives. */
    private void ping() throws IOException {
        write(client, PING);
        assertEquals(read(client, PONG.length()), PONG);
    }

    /** Response that has arrived by the timeout; whether the socket is read before the timeout. */
    @DataProvider
    public Object[][] responsesAtTheTimeout() {
        String streamed = "*1\r\n$70000\r\n" + "x".repeat(200);
        return new Object[][] {
            {ONE, true},
            {ONE, false},
            {ONE + ONE, true},
            {"-ERR failed\r\n", true},
            {"-BUSY\r\n", true},
            {"*1\r\n$3\r\non", true},
            {streamed, true},
            {streamed, false}
        };
    }

    /**
     * Timers run before received data is handled: the request gets a single final answer, and the
     * response is discarded.
     */
    @Test(dataProvider = "responsesAtTheTimeout")
    public void responseInTheBatchOfTheTimeoutIsNoSecondAnswer(String response, boolean read)
            throws Exception {
        Request request = request(1);
        dispatcher
                .loop()
                .execute(
                        () ->
                                dispatcher.sendAttempt(
                                        request, server, TIMEOUT_MS, NO_SEND_DEADLINE_MS));
        Socket socket = acceptCommand(1);
        dispatcher
                .loop()
                .execute(
                        () -> {
                            write(socket, response);
                            if (read) {
                                ((ClientRequest) request).attempt(0).connection.hasNoPendingInput();
                            }
                            nanoTime.addAndGet((long) (2 * TIMEOUT_MS * 1e6));
                        });
        String head = read(client, 3);
        // Otherwise the response may be read before the timer's batch, and then is the answer.
        boolean inTime = !read && !head.equals("-ER");
        String answer = response.equals(ONE) ? ANSWER_ONE : "$70000\r\n";
        String expected = inTime ? answer : ABORTED;
        assertEquals(head + read(client, expected.length() - head.length()), expected);
        if (inTime && !response.equals(ONE)) {
            return; // a streamed response, to which no timeout applies
        }
        ping();
        assertEquals(
                ended,
                List.of(
                        inTime
                                ? AttemptOutcome.SUCCESS + " closed"
                                : AttemptOutcome.TIMED_OUT.toString()));
        if (!inTime) {
            assertEquals(socket.getInputStream().read(), -1);
        }
    }

    /**
     * A duplicate response arrives on an idle connection just before the next attempt is sent: the
     * attempt must use another connection and get its own response.
     */
    @Test
    public void secondResponseIsNotTakenForThatOfTheNextAttempt() throws Exception {
        Request first = request(1);
        dispatcher
                .loop()
                .execute(() -> dispatcher.sendAttempt(first, server, 0, NO_SEND_DEADLINE_MS));
        Socket socket = acceptCommand(1);
        write(socket, ONE);
        assertEquals(read(client, ANSWER_ONE.length()), ANSWER_ONE);
        long restedAt = System.nanoTime() + REUSE_DELAY_NANOS;
        while (System.nanoTime() < restedAt) {
            ping();
        }
        Request second = request(2);
        dispatcher
                .loop()
                .execute(
                        () -> {
                            write(socket, ONE);
                            dispatcher.sendAttempt(second, server, 0, NO_SEND_DEADLINE_MS);
                        });
        Socket next = acceptCommand(2);
        write(next, ONE.replace("one", "two"));
        assertEquals(read(client, ANSWER_ONE.length()), ANSWER_ONE.replace("one", "two"));
        assertEquals(socket.getInputStream().read(), -1);
        ping();
        String success = AttemptOutcome.SUCCESS + " closed";
        assertEquals(ended, List.of(success, success));
    }
}
