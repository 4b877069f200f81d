package tinford.routing.client;

import static tinford.routing.RoutingFixtures.LOOPBACK;
import static tinford.routing.RoutingFixtures.hostEntry;
import static tinford.routing.RoutingFixtures.requestClass;
import static tinford.routing.RoutingFixtures.serverWithFullBacklog;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import tinford.api.AttemptOutcome;
import tinford.api.DecisionModule;
import tinford.api.GatewayActions;
import tinford.api.Idempotency;
import tinford.api.Request;
import tinford.api.Server;
import tinford.routing.RoutingFixtures;
import tinford.routing.dispatch.RequestDispatcher;
import tinford.routing.upstream.ServerPool;
import tinford.testing.FreePort;
import tinford.testing.IgnoredEvents;

/**
 * A gateway with clients and two servers on real sockets. Connections to one server are never
 * established; the other server reads slowly. The decision module of the tests does nothing with a
 * request, or sends it to the first server if a test asks for it.
 */
abstract class ForwardingFixture {
    static final int TIMEOUT_MS = RoutingFixtures.TIMEOUT_MS / 2;
    static final int REQUEST_TIMEOUT_MS = 60_000;
    static final int LONG_BODY_BYTES = 4 << 20;

    /** Three quarters of it are available to large commands, which is enough for one long one. */
    private static final int MEMORY_BYTES = 8_000_000;

    final List<AutoCloseable> resources = new ArrayList<>();
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private InetSocketAddress address;
    ServerSocket fullServer;
    ServerSocket slowServer;
    RequestDispatcher dispatcher;
    ServerPool servers;
    ClientPool clients;

    /** The first server listed since this was last set to null. */
    volatile Server firstServer;

    /** Time within which an attempt must be written. */
    volatile double sendWithinMs;

    /** Whether each request is sent to the first server. */
    volatile boolean forwardsRequests;

    /** Thrown by the decision module when a request arrives, or null. */
    volatile Error arrivalFailure;

    /** Thrown by the decision module when an attempt ends, or null. */
    volatile Error attemptEndFailure;

    /** Whether arrival events state if the client of the request has disconnected. */
    volatile boolean checksClients;

    @BeforeMethod
    public void start() throws Exception {
        forwardsRequests = false;
        checksClients = false;
        arrivalFailure = null;
        attemptEndFailure = null;
        sendWithinMs = Double.POSITIVE_INFINITY;
        events.clear();
        fullServer = serverWithFullBacklog(resources);
        slowServer = new ServerSocket();
        slowServer.setReceiveBufferSize(4096);
        slowServer.bind(new InetSocketAddress(LOOPBACK, 0));
        slowServer.setSoTimeout(TIMEOUT_MS);
        resources.add(slowServer);
        DecisionModule decisions = (now, batch, to) -> batch.replay(new Recorder(to));
        dispatcher = new RequestDispatcher(decisions, 3, 30, MEMORY_BYTES);
        resources.add(dispatcher.loop()::close);
        servers = new ServerPool(dispatcher, dispatcher, 2.0 * TIMEOUT_MS, 15_000, 10, List.of());
        clients =
                new ClientPool(
                        dispatcher,
                        RoutingFixtures.catalog(
                                requestClass("f", 80_000, Idempotency.IDEMPOTENT),
                                requestClass("w", 80_000, Idempotency.NON_IDEMPOTENT)),
                        RoutingFixtures.clientLimits());
        dispatcher.attach(clients, servers, null, null, null);
        address = new InetSocketAddress(LOOPBACK, FreePort.find());
        firstServer = null;
        runBatch(
                () ->
                        updateEndpoints(
                                true,
                                hostEntry("s0", fullServer, "ready", 0),
                                hostEntry("s1", slowServer, "ready", 0)));
        clients.listen(address, false);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        resources.clear();
    }

    /** Records the events that the decision module receives. */
    private final class Recorder extends IgnoredEvents {
        private final GatewayActions actions;

        Recorder(GatewayActions actions) {
            this.actions = actions;
        }

        @Override
        public void endpointsUpdated(List<Server> entries, boolean complete) {
            firstServer = firstServer == null ? entries.get(0) : firstServer;
        }

        @Override
        public void requestArrived(Request request) {
            events.add(checksClients ? "arrived " + request.id + clientState(request) : "arrived");
            if (arrivalFailure != null) {
                throw arrivalFailure;
            }
            if (forwardsRequests) {
                actions.sendAttempt(request, firstServer, 0, sendWithinMs);
            }
        }

        private static String clientState(Request request) {
            return request.clientGone() ? ", client gone" : ", client connected";
        }

        @Override
        public void clientDisconnected(Request request) {
            events.add("disconnected");
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
            events.add(ended(outcome));
            if (attemptEndFailure != null) {
                throw attemptEndFailure;
            }
        }
    }

    /** The event of an attempt that ended with an outcome. */
    static String ended(AttemptOutcome outcome) {
        return "ended " + outcome;
    }

    String nextEvent() throws InterruptedException {
        return String.valueOf(events.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    void runBatch(Runnable task) throws Exception {
        RoutingFixtures.runInBatch(dispatcher, task::run);
    }

    void updateEndpoints(boolean complete, String... entries) {
        servers.updateEndpoints(RoutingFixtures.endpointList(complete, List.of(entries)));
    }

    /** Lists the slow server only, so that requests are sent to it. */
    void useSlowServer() throws Exception {
        firstServer = null;
        runBatch(() -> updateEndpoints(true, hostEntry("s1", slowServer, "ready", 0)));
    }

    Socket acceptAtSlowServer() throws IOException {
        Socket socket = slowServer.accept();
        resources.add(socket);
        return socket;
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(LOOPBACK, address.getPort());
        socket.setSoTimeout(TIMEOUT_MS);
        resources.add(socket);
        return socket;
    }

    static String askCommand(int id) {
        return RoutingFixtures.askCommand(id, REQUEST_TIMEOUT_MS);
    }

    /** A command whose body exceeds the buffers of the sockets. */
    static String longCommand(int id) {
        return RoutingFixtures.doCommand(id, "w", REQUEST_TIMEOUT_MS, "x".repeat(LONG_BODY_BYTES));
    }

    /** Disconnects a client in one of the ways of the tests' data providers. */
    static void disconnect(Socket socket, String way) {
        try {
            switch (way) {
                case "closes" -> socket.close();
                case "resets" -> {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
                default -> socket.shutdownOutput();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
