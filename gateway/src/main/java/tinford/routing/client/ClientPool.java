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

/** The client connections and their open requests. */
public final class ClientPool {
    /** Connections kept free for new clients while older connections are being closed. */
    private static final int MAX_HEADROOM_CONNECTIONS = 16;

    private static final int HEADROOM_DIVISOR = 8;
    private static final double CHECK_INTERVAL_MS = 250;

    /** Longest wait for open requests when the process ends; those still open then are answered. */
    private static final double MAX_FINAL_WAIT_MS = 3000;

    /** Time after the longest client timeout at which no client waits for an answer any more. */
    private static final double FINAL_ANSWER_GRACE_MS = 20;

    /** Idle time after which a connection is closed between requests while draining. */
    private static final double MIN_IDLE_BEFORE_CLOSE_MS = 50;

    private static final double CLOSE_IDLE_INTERVAL_MS = 10;

    /** Time for clients to read the last responses before the process ends. */
    private static final double FINAL_READ_TIME_MS = 20;

    final RoutingContext context;
    final RespReader respReader = new RespReader(true);
    final ClientLimits limits;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final OpenRequests openRequests;
    private final ExecutedIds executedIds;
    private final ClientRequestFactory requestFactory;
    private Listener listener;
    private Runnable onAllClosed;
    private boolean draining;
    private boolean accepting;
    private boolean terminating;

    /** Time at which a client last connected, or was last seen to have to reconnect. */
    private double lastArrivalMs;

    private int crossedCloses;

    /**
     * @param catalog the catalog in force until {@link #useCatalog}
     */
    public ClientPool(RoutingContext context, Catalog catalog, ClientLimits limits) {
        this.context = context;
        this.limits = limits;
        this.openRequests = new OpenRequests(limits);
        this.executedIds = new ExecutedIds(context);
        this.requestFactory = new ClientRequestFactory(limits, openRequests, catalog);
    }

    /** Sets the catalog for new requests. Open requests keep their request class and plan. */
    public void useCatalog(Catalog next) {
        requestFactory.useCatalog(next);
    }

    /**
     * Starts to accept client connections.
     *
     * @param shared whether another process of this gateway may listen at the address concurrently
     * @throws IOException if the listener cannot be bound to the address
     */
    public void listen(InetSocketAddress address, boolean shared) throws IOException {
        checkConnections();
        accepting = true;
        listener =
                new Listener(
                        context.loop(), address, shared, limits.maxConnections(), this::accept);
    }

    /**
     * Returns the connection for a new client. If it returns null, the socket is closed unread, so
     * that the client tries another gateway. Clients may keep connections open that they never use
     * again, so idle connections are closed for new ones.
     */
    private ClientConnection accept() {
        lastArrivalMs = context.nowMs();
        if (connections.size() >= Math.min(limits.reclaimThreshold(), highWaterMark())) {
            reclaimConnections(
                    connections.size() >= highWaterMark()
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

    /** Number of connections above which the headroom for new connections is in use. */
    private int highWaterMark() {
        int max = maxConnections();
        return max - Math.min(MAX_HEADROOM_CONNECTIONS, max / HEADROOM_DIVISOR + 1);
    }

    private void checkConnections() {
        context.loop().schedule(CHECK_INTERVAL_MS, this::checkConnections); // first: this may throw
        for (ClientConnection connection : new ArrayList<>(connections)) {
            connection.checkTimeouts(context.nowMs());
        }
        // Clients in the backlog are not accepted, so accept() closes no connections for them.
        reclaimDownTo(highWaterMark());
    }

    private void reclaimDownTo(int count) {
        boolean closed = true;
        while (closed && connections.size() > count) {
            ClientConnection connection = findReclaimable(ConnectionActivity.BUSY);
            closed = connection != null && connection.closeIfQuiet();
        }
    }

    /**
     * Closes one connection that is less active than the limit, preferring the least active. No
     * request is lost by a close between requests: the client sends a request that it crosses
     * again.
     */
    void reclaimConnections(ConnectionActivity limit) {
        ClientConnection connection = findReclaimable(limit);
        while (connection != null && !connection.closeIfQuiet()) {
            connection = findReclaimable(limit);
        }
    }

    /**
     * Returns the least recently used of the least active connections, or null if none is less
     * active than the limit.
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
     * Creates a request from a command.
     *
     * @param arrivedMs the earliest time at which the command may have arrived
     * @throws ProtocolException if the command does not comply with the catalog or the limits
     */
    ClientRequest newRequest(ClientConnection connection, ClientCommand command, double arrivedMs)
            throws ProtocolException {
        return requestFactory.create(connection, command, arrivedMs);
    }

    /**
     * Passes a request to the decision module, or rejects it if limits are exceeded.
     *
     * @param mayForward whether its connection may have one more request forwarded
     */
    void submit(ClientRequest request, boolean mayForward) {
        openRequests.add(request);
        if (terminating || !mayForward || openRequests.exceedLimit()) {
            reject(request, 0);
            return;
        }
        if (ExecutedIds.isKeptFor(request.requestClass) && executedIds.contains(request.id)) {
            fail(request);
            return;
        }
        try {
            context.events().requestArrived(request);
        } catch (RuntimeException | Error e) {
            context.loop().logFailure(e);
            fail(request); // the decision module will not decide on it any more
        }
    }

    /**
     * Answers a request as rejected, unless it is finished. To be called within a batch.
     *
     * @param retryAfterMs time after which the client may retry, or 0 to state none
     */
    public void reject(ClientRequest request, long retryAfterMs) {
        if (finish(request)) {
            request.connection.answerLine(
                    request.slot, retryAfterMs > 0 ? "-BUSY " + retryAfterMs : "-BUSY");
        }
    }

    /** Answers a request as failed, unless it is finished. To be called within a batch. */
    public void fail(ClientRequest request) {
        if (finish(request)) {
            request.answerAborted();
        }
    }

    /**
     * Called when the client of a request has disconnected: cancels attempts not sent completely.
     */
    void clientDisconnected(ClientRequest request) {
        finish(request);
        context.events().clientDisconnected(request);
        request.closeUnsentAttempts();
        keepIdIfExecuted(request);
    }

    /** Keeps the id of a request whose client has left, if it must not be sent again. */
    void keepIdIfExecuted(ClientRequest request) {
        if (request.isExecutedOnce()) {
            keepExecutedId(request.id);
        }
    }

    void keepExecutedId(long id) {
        executedIds.add(id, requestFactory.longestRetentionMs());
    }

    /**
     * Marks a request as finished, as it has its final answer; returns false if it was finished
     * before. To be called within a batch.
     */
    public boolean finish(ClientRequest request) {
        if (request.isFinished()) {
            return false;
        }
        request.markFinished();
        openRequests.remove(request);
        return true;
    }

    void connectionClosed(ClientConnection connection) {
        connections.remove(connection);
        if (onAllClosed != null && connections.isEmpty()) {
            // Submitted, so that data caused by this close, such as returned units, is sent first.
            context.loop().submit(onAllClosed::run);
        }
    }

    boolean isDraining() {
        return draining;
    }

    /**
     * Whether a connection is closed after its next response. A connection that was accepted while
     * draining stays open as long as new ones are accepted: otherwise its client would reconnect
     * repeatedly, and could be among those that are reset when the listener closes.
     */
    boolean closesAfterResponse(boolean acceptedWhileDraining) {
        return draining && !(accepting && acceptedWhileDraining);
    }

    /** Called when a request crossed the close of its connection, so its client must reconnect. */
    void reconnectExpected() {
        crossedCloses++;
        lastArrivalMs = context.nowMs();
    }

    /** Number of closes that a request crossed. Such requests are not read. */
    public int crossedCloses() {
        return crossedCloses;
    }

    /**
     * Returns the time since a client last connected, or was last seen to have to reconnect. To be
     * called within a batch.
     */
    public double sinceLastArrivalMs() {
        return context.nowMs() - lastArrivalMs;
    }

    /**
     * Stops accepting clients because another process of this gateway accepts them. Each connection
     * is closed right after its next response, when the client is not about to send a request, or
     * after {@code graceMs} if there is none. To be called within a batch.
     *
     * @param onDone called once all connections are closed
     */
    public void drainToSuccessor(double graceMs, Runnable onDone) {
        draining = true;
        // Both processes together may use only the descriptors of one.
        reclaimDownTo(Math.min(limits.reclaimThreshold(), highWaterMark()));
        stopAccepting(graceMs, onDone);
    }

    /**
     * Closes connections that are between requests now, and the others right after their next
     * response. New connections are still accepted, for clients whose requests cross a close. To be
     * called within a batch.
     */
    public void closeIdleConnections() {
        draining = true;
        for (ClientConnection connection : new ArrayList<>(connections)) {
            if (connection.isIdleAfterCommand()) {
                connection.closeWhenAnswered();
            }
        }
    }

    /**
     * Stops accepting connections. Open connections may stay for {@code graceMs}; then each is
     * closed once all its requests are answered. To be called within a batch.
     *
     * @param onDone called once all connections are closed
     */
    public void stopAccepting(double graceMs, Runnable onDone) {
        stopAccepting(graceMs, 0, onDone);
    }

    /**
     * Like the other method, for a grace period that ends later than planned.
     *
     * @param lateMs delay of the end of the grace period, by which the time for the last answers is
     *     shortened
     */
    public void stopAccepting(double graceMs, double lateMs, Runnable onDone) {
        // The last connections in the backlog may be accepted only after the grace period.
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

    /** Closes each connection once all its requests are answered, or when the time is up. */
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
     * Ends in time if requests are still open or clients do not close, so that the process is not
     * killed with unanswered requests: open requests are answered now, and new ones are rejected.
     */
    private void terminate(Runnable onDone) {
        terminating = true;
        for (ClientConnection connection : new ArrayList<>(connections)) {
            connection.terminate();
        }
        context.loop().schedule(FINAL_READ_TIME_MS, onDone::run);
    }

    /** Gives a request its final answer, and reports its client as disconnected. */
    void terminate(ClientRequest request) {
        if (request.hasAttempts()) {
            fail(request);
        } else {
            reject(request, 0);
        }
        clientDisconnected(request);
    }
}
