package tinford.routing.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import tinford.protocol.ClientCommand;
import tinford.protocol.ProtocolException;
import tinford.protocol.RespReader;
import tinford.routing.RoutingContext;
import tinford.routing.catalog.Catalog;
import tinford.transport.DescriptorBudget;
import tinford.transport.EventLoop;
import tinford.transport.Listener;

/** The client connections, and the requests that are open on them. */
public final class ClientPool {
    /** Places for new connections while older ones take their time to close. */
    private static final int MAX_HEADROOM_CONNECTIONS = 16;

    private static final int HEADROOM_DIVISOR = 8;
    private static final double CHECK_INTERVAL_MS = 250;

    /** At the end of the process, a client that waits longer is answered after this time. */
    private static final double MAX_FINAL_WAIT_MS = 3000;

    /** After the longest client time-out no client waits for an answer any more. */
    private static final double FINAL_ANSWER_GRACE_MS = 20;

    /** Connections that have brought nothing for so long end between requests. */
    private static final double MIN_IDLE_BEFORE_CLOSE_MS = 50;

    private static final double CLOSE_IDLE_INTERVAL_MS = 10;

    /** Time to read the last responses. */
    private static final double FINAL_READ_MS = 20;

    final RoutingContext context;
    final RespReader respReader = new RespReader(true);
    final ClientLimits limits;
    final CommandBuffers commandBuffers;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final HeldBytes heldBytes;
    private final OpenRequests openRequests;
    private final ClientRequestFactory requestFactory;
    private Listener listener;
    private Runnable onAllClosed;
    private boolean draining;
    private boolean accepting;
    private boolean terminating;

    /** When a client last connected, or was seen to have to connect again. */
    private double lastArrivalMs;

    private int crossedCloses;

    /**
     * @param catalog in force until another one comes
     */
    public ClientPool(RoutingContext context, Catalog catalog, ClientLimits limits) {
        this.context = context;
        this.limits = limits;
        this.heldBytes = new HeldBytes(limits.maxHeldBytes());
        this.commandBuffers = new CommandBuffers(heldBytes);
        this.openRequests = new OpenRequests(limits, heldBytes);
        this.requestFactory = new ClientRequestFactory(context, limits, openRequests, catalog);
    }

    /** For requests from now on; open ones keep their request class and plan. */
    public void useCatalog(Catalog next) {
        requestFactory.useCatalog(next);
    }

    /**
     * Starts to accept client connections.
     *
     * @param shared whether another process of this gateway may listen there at the same time
     * @throws IOException if the address can't be listened at
     */
    public void listen(InetSocketAddress address, boolean shared) throws IOException {
        checkConnections();
        accepting = true;
        listener =
                new Listener(
                        context.loop(), address, shared, limits.maxConnections(), this::accept);
    }

    /**
     * A connection for a client that connects, or null: it is then closed unread, so that the
     * client tries another gateway. Clients may keep connections that they will not use again, so
     * idle ones are closed for a new one.
     */
    private ClientConnection accept() {
        lastArrivalMs = context.nowMs();
        if (connections.size() >= Math.min(limits.reclaimThreshold(), highWater())) {
            reclaimConnections(
                    connections.size() >= highWater()
                            ? ConnectionActivity.BUSY
                            : ConnectionActivity.JUST_OPENED);
        }
        if (connections.size() >= maxConnections()) {
            return null;
        }
        ClientConnection connection = new ClientConnection(this);
        connections.add(connection);
        return connection;
    }

    private int maxConnections() {
        DescriptorBudget descriptors = context.loop().descriptorBudget();
        return Math.min(
                limits.maxConnections(), descriptors.limit(DescriptorBudget.PeerKind.CLIENTS));
    }

    /** Connections from which on no headroom is left for new ones. */
    private int highWater() {
        int max = maxConnections();
        return max - Math.min(MAX_HEADROOM_CONNECTIONS, max / HEADROOM_DIVISOR + 1);
    }

    private void checkConnections() {
        context.loop()
                .schedule(CHECK_INTERVAL_MS, this::checkConnections); // also if this one fails
        for (ClientConnection connection : new ArrayList<>(connections)) {
            connection.checkTimeouts(context.nowMs());
        }
        // Clients in the backlog are not accepted, so nothing else closes connections for them.
        shrinkTo(highWater());
    }

    private void shrinkTo(int count) {
        boolean closed = true;
        while (closed && connections.size() > count) {
            ClientConnection connection = findReclaimable(ConnectionActivity.BUSY);
            closed = connection != null && connection.closeIfQuiet();
        }
    }

    /**
     * Closes one connection less active than the limit, the least active first. A close between
     * requests costs no request: what crosses it is sent once more by its client.
     */
    void reclaimConnections(ConnectionActivity limit) {
        ClientConnection connection = findReclaimable(limit);
        while (connection != null && !connection.closeIfQuiet()) {
            connection = findReclaimable(limit);
        }
    }

    /**
     * The connection least active, and of these the one used longest ago; null if none is below.
     */
    private ClientConnection findReclaimable(ConnectionActivity limit) {
        ClientConnection candidate = null;
        ConnectionActivity lowestActivity = limit;
        double nowMs = context.nowMs();
        for (ClientConnection connection : connections) {
            ConnectionActivity activity = connection.activity(nowMs);
            int order = activity.compareTo(lowestActivity);
            if (order < 0
                    || order == 0
                            && candidate != null
                            && connection.lastUseMs() < candidate.lastUseMs()) {
                lowestActivity = activity;
                candidate = connection;
            }
        }
        return candidate;
    }

    /**
     * Makes a request from a command.
     *
     * @throws ProtocolException if the command does not fit the catalog or the limits
     */
    ClientRequest newRequest(ClientConnection connection, ClientCommand command)
            throws ProtocolException {
        return requestFactory.create(connection, command);
    }

    /**
     * Hands a request to the decision module, or rejects it where limits are exceeded.
     *
     * @param tooManyWaiting on its connection
     */
    void submit(ClientRequest request, boolean tooManyWaiting) {
        openRequests.add(request);
        if (terminating || tooManyWaiting || openRequests.exceedLimits()) {
            reject(request, 0);
            return;
        }
        try {
            context.events().requestArrived(request);
        } catch (RuntimeException | Error e) {
            context.loop().logFailure(e);
            fail(request); // no decision would follow
        }
    }

    /**
     * Within a batch: answers a request as rejected, unless it is finished.
     *
     * @param retryAfterMs when its client may come again, or 0 for no advice
     */
    public void reject(ClientRequest request, long retryAfterMs) {
        if (finish(request)) {
            request.connection.answerLine(
                    request.slot, retryAfterMs > 0 ? "-BUSY " + retryAfterMs : "-BUSY");
        }
    }

    /** Within a batch: answers a request as failed, unless it is finished. */
    public void fail(ClientRequest request) {
        if (finish(request)) {
            request.connection.answerLine(request.slot, "-ERR aborted");
        }
    }

    /** A request's client is gone: attempts of which something is unsent are given up. */
    void clientDisconnected(ClientRequest request) {
        finish(request);
        context.events().clientDisconnected(request);
        request.closeUnsentAttempts();
    }

    /** Within a batch: a request has its final answer; false if it had one before. */
    public boolean finish(ClientRequest request) {
        if (request.isFinished()) {
            return false;
        }
        request.markFinished();
        openRequests.remove(request);
        commandBuffers.serveWaiting();
        return true;
    }

    /** Counts bytes of responses that wait for earlier ones, or no longer do if below 0. */
    void addHeldBytes(int bytes) {
        heldBytes.add(bytes);
        if (bytes < 0) {
            commandBuffers.serveWaiting();
        }
    }

    void connectionClosed(ClientConnection connection) {
        connections.remove(connection);
        if (onAllClosed != null && connections.isEmpty()) {
            // What this close caused, such as units given back, is written before that.
            context.loop().submit(onAllClosed::run);
        }
    }

    boolean isDraining() {
        return draining;
    }

    /**
     * Whether a connection is to end behind its next response. One that came while the process
     * drained stays as long as clients can connect: else its client would come again and again, and
     * be among those that the end of the listener may reset.
     */
    boolean closesBehindResponse(boolean acceptedWhileDraining) {
        return draining && !(accepting && acceptedWhileDraining);
    }

    /** A request crossed the close of its connection: its client is to connect again. */
    void clientExpected() {
        crossedCloses++;
        lastArrivalMs = context.nowMs();
    }

    /** How many closes of connections were crossed by requests, which are not read. */
    public int crossedCloses() {
        return crossedCloses;
    }

    /** Within a batch: for how long no client has connected, or had to connect again. */
    public double sinceLastArrivalMs() {
        return context.nowMs() - lastArrivalMs;
    }

    /**
     * Within a batch: another process of this gateway accepts clients, so this one stops. Each
     * connection ends right behind its next response, when its client is not about to write; the
     * others after {@code graceMs}.
     *
     * @param onDone called once all connections are closed
     */
    public void drainToSuccessor(double graceMs, Runnable onDone) {
        draining = true;
        // Both processes together have the descriptors of one.
        shrinkTo(Math.min(limits.reclaimThreshold(), highWater()));
        stopAccepting(graceMs, onDone);
    }

    /**
     * Within a batch: connections between requests end, the others right behind their next
     * response. New ones are still accepted, for the clients of requests that cross that.
     */
    public void closeIdleConnections() {
        draining = true;
        for (ClientConnection connection : new ArrayList<>(connections)) {
            if (connection.isIdleAfterUse()) {
                connection.closeWhenAnswered();
            }
        }
    }

    /**
     * Within a batch: accepts no more connections. Those open may stay for {@code graceMs}, then
     * each ends once all on it is answered.
     *
     * @param onDone called once all connections are closed
     */
    public void stopAccepting(double graceMs, Runnable onDone) {
        stopAccepting(graceMs, 0, onDone);
    }

    /**
     * As the other method.
     *
     * @param lateMs by how much the end of the grace period is later than planned, and the last
     *     answers are to be given sooner after it
     */
    public void stopAccepting(double graceMs, double lateMs, Runnable onDone) {
        // Connections that the system accepted last may be taken over only after the grace period.
        EventLoop.Task closeAfterBoth =
                new EventLoop.Task() {
                    private int runs;

                    @Override
                    public void run() {
                        runs++;
                        if (runs == 2) {
                            closeWhenAnswered(lateMs, onDone);
                        }
                    }
                };
        accepting = false;
        listener.closeAfterAccepting(closeAfterBoth);
        context.loop().schedule(graceMs, closeAfterBoth);
    }

    /** Each connection ends once all on it is answered, and for lack of time in any case. */
    void closeWhenAnswered(Runnable onDone) {
        closeWhenAnswered(0, onDone);
    }

    private void closeWhenAnswered(double lateMs, Runnable onDone) {
        draining = true;
        onAllClosed = onDone;
        closeIdle();
        if (connections.isEmpty()) {
            context.loop().submit(onDone::run);
        }
        double maxWaitMs = Math.min(requestFactory.longestTimeoutMs(), MAX_FINAL_WAIT_MS) - lateMs;
        context.loop().schedule(maxWaitMs + FINAL_ANSWER_GRACE_MS, () -> terminate(onDone));
    }

    private void closeIdle() {
        for (ClientConnection connection : new ArrayList<>(connections)) {
            connection.closeIfIdleFor(MIN_IDLE_BEFORE_CLOSE_MS);
        }
        if (!connections.isEmpty()) {
            context.loop().schedule(CLOSE_IDLE_INTERVAL_MS, this::closeIdle);
        }
    }

    /**
     * Ends the process in time where clients neither read nor close, so that it is not killed with
     * requests unanswered: open ones are answered now, and those read from now on rejected.
     */
    private void terminate(Runnable onDone) {
        terminating = true;
        for (ClientConnection connection : new ArrayList<>(connections)) {
            connection.terminate();
        }
        context.loop().schedule(FINAL_READ_MS, onDone::run);
    }

    /** Gives a request its final answer; to the decision module its client is gone. */
    void terminate(ClientRequest request) {
        if (request.hasAttempts()) {
            fail(request);
        } else {
            reject(request, 0);
        }
        clientDisconnected(request);
    }
}
