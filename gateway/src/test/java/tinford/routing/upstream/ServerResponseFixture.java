package tinford.routing.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
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
import tinford.api.AttemptOutcome;
import tinford.api.Idempotency;
import tinford.api.Request;
import tinford.api.Server;
import tinford.routing.RoutingFixtures;
import tinford.routing.client.ClientPool;
import tinford.routing.client.ClientRequest;
import tinford.routing.dispatch.RequestDispatcher;
import tinford.testing.Eventually;
import tinford.testing.FreePort;
import tinford.testing.IgnoredEvents;

/**
 * A gateway with one client and one server on real sockets. The time of its timers is simulated,
 * and the test sends the attempts itself, in place of a decision module.
 */
abstract class ServerResponseFixture {
    static final double NO_SEND_DEADLINE_MS = 1e9;
    private static final int REQUEST_TIMEOUT_MS = 70_000;
    private static final int COMMAND_LINES = 9;

    final AtomicLong nanoTime = new AtomicLong();
    final List<AutoCloseable> resources = new ArrayList<>();

    /** The outcomes of the attempts, in the order in which the attempts ended. */
    final List<String> ended = new CopyOnWriteArrayList<>();

    private final BlockingQueue<Request> requests = new LinkedBlockingQueue<>();
    RequestDispatcher dispatcher;
    volatile Server server;
    ServerSocket serverSocket;
    Socket client;

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
                                        "f", 80_000, Idempotency.NON_IDEMPOTENT)),
                        RoutingFixtures.clientLimits());
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

    /** Sends the client's request with the id, and returns it once it has arrived. */
    Request request(int id) throws InterruptedException {
        write(client, doCommand(id, "f", REQUEST_TIMEOUT_MS));
        return requests.poll(10, TimeUnit.SECONDS);
    }

    /** Accepts the server's next connection, and reads the command with the id from it. */
    Socket acceptCommand(int id) throws IOException {
        Socket socket = serverSocket.accept();
        socket.setSoTimeout(10_000);
        resources.add(socket);
        readCommand(socket, id);
        return socket;
    }

    /** Reads the command with the id, which is the next one that the server receives. */
    static void readCommand(Socket socket, int id) throws IOException {
        String command = readLines(socket, COMMAND_LINES);
        assertTrue(command.contains("000000000000000" + id), command);
    }

    /** Sends an attempt of the request that waits for its response as long as the request does. */
    void sendAttempt(Request request) {
        dispatcher
                .loop()
                .execute(() -> dispatcher.sendAttempt(request, server, 0, NO_SEND_DEADLINE_MS));
    }

    private static String readLines(Socket socket, int count) throws IOException {
        StringBuilder text = new StringBuilder();
        int lines = 0;
        while (lines < count) {
            text.append(read(socket, 1));
            lines += text.charAt(text.length() - 1) == '\n' ? 1 : 0;
        }
        return text.toString();
    }

    /** Sends a PING, and checks that its answer is the next data that the client receives. */
    void ping() throws IOException {
        write(client, PING);
        assertEquals(read(client, PONG.length()), PONG);
    }

    void runBatch() throws Exception {
        RoutingFixtures.runInBatch(dispatcher, () -> {});
    }

    /** Waits until the gateway has received the beginning of a request's streamed response. */
    static void awaitResponseStart(Request request) throws Exception {
        Eventually.await("the start of a response", ((ClientRequest) request)::isFinished);
    }
}
