package tinford.routing.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.routing.RoutingFixtures.LOOPBACK;
import static tinford.routing.RoutingFixtures.PING;
import static tinford.routing.RoutingFixtures.PONG;
import static tinford.routing.RoutingFixtures.TIMEOUT_MS;
import static tinford.routing.RoutingFixtures.read;
import static tinford.routing.RoutingFixtures.write;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import tinford.api.DecisionModule;
import tinford.api.GatewayActions;
import tinford.api.Idempotency;
import tinford.api.Request;
import tinford.routing.RoutingFixtures;
import tinford.routing.dispatch.RequestDispatcher;
import tinford.testing.FreePort;
import tinford.testing.IgnoredEvents;
import tinford.transport.EventLoop;

/**
 * A gateway with clients on real connections. Time is simulated, and tests run single batches.
 * Requests fail at once or stay open.
 */
abstract class ClosingFixture {
    static final int LONGEST_TIMEOUT_MS = 8000;
    private static final int REQUEST_TIMEOUT_MS = 900;
    final AtomicLong nanoTime = new AtomicLong();
    final List<AutoCloseable> resources = new ArrayList<>();
    final List<Long> arrivedIds = new CopyOnWriteArrayList<>();
    private final LinkedBlockingQueue<ClientRequest> requests = new LinkedBlockingQueue<>();

    /** Whether requests fail on arrival; otherwise they stay open. */
    boolean failsRequests;

    /** The value that requests are answered with on arrival, or null to do without. */
    byte[] answer;

    /** Whether a unit is returned to the counter when a client disconnects. */
    boolean returnsUnits;

    GatewayActions actions;
    RequestDispatcher dispatcher;
    ClientPool clients;
    private int port;

    @BeforeMethod
    public void start() throws Exception {
        failsRequests = true;
        answer = null;
        returnsUnits = false;
        nanoTime.set(0);
        requests.clear();
        arrivedIds.clear();
        dispatcher = new RequestDispatcher(decisions(), 3, 20, 64 << 20, nanoTime::get);
        clients =
                new ClientPool(
                        dispatcher,
                        RoutingFixtures.catalog(
                                RoutingFixtures.requestClass(
                                        "f", LONGEST_TIMEOUT_MS, Idempotency.IDEMPOTENT)),
                        RoutingFixtures.clientLimits());
        dispatcher.attach(clients, null, null, null, null);
        port = FreePort.find();
        runBatch(
                () -> {
                    try {
                        clients.listen(new InetSocketAddress(LOOPBACK, port), false);
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                });
    }

    private DecisionModule decisions() {
        return (now, batch, to) -> {
            actions = to;
            batch.replay(
                    new IgnoredEvents() {
                        @Override
                        public void requestArrived(Request request) {
                            arrivedIds.add(request.id);
                            requests.add((ClientRequest) request);
                            if (answer != null) {
                                ((ClientRequest) request).answer(answer, 0, answer.length);
                                clients.finish((ClientRequest) request);
                            } else if (failsRequests) {
                                to.fail(request);
                            }
                        }

                        @Override
                        public void clientDisconnected(Request request) {
                            if (returnsUnits) {
                                to.incrementCounter(1, -1, 1000);
                            }
                        }
                    });
        };
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        resources.clear();
        dispatcher.loop().close();
    }

    /** Runs a task in one batch, and returns when the next batch has ended as well. */
    void runBatch(EventLoop.Task task) throws Exception {
        dispatcher.loop().execute(task);
        for (int i = 0; i < 2; i++) {
            CountDownLatch over = new CountDownLatch(1);
            dispatcher.loop().execute(over::countDown);
            assertTrue(
                    over.await(TIMEOUT_MS, TimeUnit.MILLISECONDS),
                    "the event loop ran no batch within the time limit");
        }
    }

    void advanceTime(int ms) throws Exception {
        nanoTime.addAndGet(ms * 1_000_000L);
        runBatch(() -> {});
    }

    Socket connect() throws IOException {
        return connect(0);
    }

    /**
     * @param receiveBufferBytes size of the socket's receive buffer, or 0 for the default
     */
    Socket connect(int receiveBufferBytes) throws IOException {
        Socket socket = new Socket();
        resources.add(socket);
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MS);
        socket.connect(new InetSocketAddress(LOOPBACK, port));
        return socket;
    }

    /** Reads up to the end of the stream. A reset counts as an end. */
    static String readToEnd(Socket socket) throws IOException {
        StringBuilder text = new StringBuilder();
        try {
            int next = socket.getInputStream().read();
            while (next >= 0) {
                text.append((char) next);
                next = socket.getInputStream().read();
            }
        } catch (SocketException e) {
            // The connection was reset: return the text received before.
        }
        return text.toString();
    }

    static String askCommand(int id) {
        return RoutingFixtures.askCommand(id, REQUEST_TIMEOUT_MS);
    }

    /**
     * Returns once data that was written before on any connection has been read, and its batch has
     * ended.
     */
    void awaitInputProcessed() throws Exception {
        for (int i = 0; i < 2; i++) {
            Socket other = connect();
            write(other, PING);
            assertEquals(read(other, PONG.length()), PONG);
            other.close();
        }
        runBatch(() -> {});
    }

    ClientRequest nextRequest() throws InterruptedException {
        return requests.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
