package tinford.routing.dispatch;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.function.LongSupplier;
import tinford.api.AttemptOutcome;
import tinford.api.DecisionModule;
import tinford.api.FleetPolicy;
import tinford.api.GatewayActions;
import tinford.api.GatewayEvents;
import tinford.api.Request;
import tinford.api.Server;
import tinford.routing.RoutingContext;
import tinford.routing.catalog.Catalog;
import tinford.routing.client.ClientPool;
import tinford.routing.client.ClientRequest;
import tinford.routing.counter.CounterClient;
import tinford.routing.discovery.DiscoveryWatch;
import tinford.routing.peer.PeerMessenger;
import tinford.routing.upstream.AttemptListener;
import tinford.routing.upstream.PooledServer;
import tinford.routing.upstream.ServerAttempt;
import tinford.routing.upstream.ServerPool;
import tinford.transport.Clock;
import tinford.transport.CloseReason;
import tinford.transport.EventLoop;
import tinford.transport.MemoryBudget;

/**
 * Connects the decision module to the network. All input of one event loop iteration is passed to
 * the module as one batch of events. The module's actions are delegated to the other classes of the
 * request path.
 */
public final class RequestDispatcher implements RoutingContext, AttemptListener, GatewayActions {
    private static final System.Logger LOG = System.getLogger("tinford.routing");

    /** The part of the memory budget that the decision module may hold. */
    private static final int MODULE_MEMORY_DIVISOR = 4;

    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final RateLimitedWarnings warnings = new RateLimitedWarnings(LOG);
    private final DecisionModule decisions;
    private final int maxAttempts;
    private ClientPool clients;
    private ServerPool servers;
    private CounterClient counter;
    private DiscoveryWatch watch;
    private PeerMessenger peers;
    private FleetPolicy fleetPolicy = new FleetPolicy();
    private GatewayEvents events;
    private double nowMs = clock.nowMs();
    private double previousBatchMs = nowMs;

    /** Memory that the decision module holds. */
    private long moduleBytes;

    /**
     * @param maxAttempts limit on the attempts of one request
     * @param descriptors limit on open connections, not counting those of the admin API
     * @param memoryBytes limit on the heap memory that all connections use together
     * @throws IOException if the event loop cannot be started
     */
    public RequestDispatcher(
            DecisionModule decisions, int maxAttempts, int descriptors, long memoryBytes)
            throws IOException {
        this(decisions, maxAttempts, descriptors, memoryBytes, System::nanoTime);
    }

    /**
     * Like the other constructor, but with a given clock for timers.
     *
     * @param nanoTime time in nanoseconds from an arbitrary origin, as {@link System#nanoTime}
     */
    public RequestDispatcher(
            DecisionModule decisions,
            int maxAttempts,
            int descriptors,
            long memoryBytes,
            LongSupplier nanoTime)
            throws IOException {
        this.decisions = decisions;
        this.maxAttempts = maxAttempts;
        this.loop = new EventLoop(this::runBatch, descriptors, memoryBytes, nanoTime);
    }

    /**
     * Sets the objects that actions are delegated to. To be called once, before the first batch.
     * Objects that are not used may be null.
     */
    public void attach(
            ClientPool clients,
            ServerPool servers,
            CounterClient counter,
            DiscoveryWatch watch,
            PeerMessenger peers) {
        this.clients = clients;
        this.servers = servers;
        this.counter = counter;
        this.watch = watch;
        this.peers = peers;
    }

    /** Starts the decision module. Must be the first call within the first batch. */
    public void start() {
        events.started();
    }

    /** Applies the policy of a fleet. To be called within a batch. */
    public void applyFleetPolicy(FleetPolicy policy) {
        fleetPolicy = policy;
        events.fleetPolicyChanged(policy);
    }

    /** Replaces the catalog in force. To be called within a batch. */
    public void useCatalog(Catalog catalog) {
        clients.useCatalog(catalog);
        events.plansChanged(catalog.plansInForce());
    }

    /**
     * Notifies the decision module that this process takes over the requests from another process
     * of this gateway. To be called within a batch.
     */
    public void startTakeover() {
        events.takeoverStarted();
    }

    /**
     * Notifies the decision module that another process of this gateway takes over the requests. To
     * be called within a batch.
     */
    public void startDraining() {
        events.drainingStarted();
    }

    private void runBatch() {
        previousBatchMs = nowMs;
        nowMs = clock.nowMs();
        decisions.handleBatch(
                nowMs,
                batchEvents -> {
                    events = batchEvents;
                    loop.runDueTasks();
                },
                this);
    }

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public double nowMs() {
        return nowMs;
    }

    @Override
    public double previousBatchMs() {
        return previousBatchMs;
    }

    @Override
    public GatewayEvents events() {
        return events;
    }

    @Override
    public FleetPolicy fleetPolicy() {
        return fleetPolicy;
    }

    @Override
    public void warn(String event, String subject, Exception cause) {
        warnings.log(nowMs, event, subject, cause);
    }

    @Override
    public void responseStarted(ServerAttempt attempt) {
        attempt.cancelTimers();
        ClientRequest request = (ClientRequest) attempt.request;
        clients.finish(request);
        events.responseStarted(request, attempt.number);
    }

    @Override
    public void attemptEnded(
            ServerAttempt attempt,
            AttemptOutcome outcome,
            int meteredUse,
            double settledUnits,
            double[] loadReport) {
        if (!attempt.markEnded(outcome)) {
            return;
        }
        ClientRequest request = (ClientRequest) attempt.request;
        if (outcome == AttemptOutcome.SUCCESS) {
            clients.finish(request);
        }
        try {
            events.attemptEnded(
                    request,
                    attempt.number,
                    outcome,
                    nowMs - attempt.startedAtMs,
                    request.isFinished(),
                    meteredUse,
                    settledUnits,
                    loadReport);
        } catch (RuntimeException | Error e) {
            loop.logFailure(e);
            clients.fail(request); // the decision module will not decide on it any more
        }
    }

    @Override
    public boolean reserveMemory(long bytes) {
        MemoryBudget budget = loop.memoryBudget();
        boolean isWithinPart = moduleBytes + bytes <= budget.limitBytes() / MODULE_MEMORY_DIVISOR;
        if (!isWithinPart || !budget.isAvailable(moduleBytes, bytes)) {
            return false;
        }
        moduleBytes += bytes;
        budget.add(bytes);
        return true;
    }

    @Override
    public void releaseMemory(long bytes) {
        moduleBytes -= bytes;
        loop.memoryBudget().release(bytes);
    }

    @Override
    public void sendAttempt(Request request, Server server, double timeoutMs, double sendWithinMs) {
        ServerAttempt attempt = ((ClientRequest) request).addAttempt(nowMs);
        double remainingMs = request.deadlineMs - nowMs;
        double waitMs = timeoutMs == 0 ? remainingMs : Math.min(timeoutMs, remainingMs);
        if (waitMs <= 0 || isForbidden(attempt)) {
            loop.submit(() -> endUnsent(attempt));
            return;
        }
        servers.send(attempt, (PooledServer) server, (long) Math.ceil(waitMs));
        attempt.setTimeout(
                loop.schedule(waitMs, () -> attempt.close(CloseReason.RESPONSE_TIMEOUT)));
        if (sendWithinMs < waitMs) {
            attempt.setSendDeadline(loop.schedule(sendWithinMs, attempt::closeIfUnsent));
        }
    }

    private boolean isForbidden(ServerAttempt attempt) {
        return attempt.request.isFinished() || attempt.number >= maxAttempts;
    }

    private void endUnsent(ServerAttempt attempt) {
        AttemptOutcome outcome =
                isForbidden(attempt) ? AttemptOutcome.NOT_SENT : AttemptOutcome.TIMED_OUT;
        attemptEnded(attempt, outcome, 0, 0, null);
    }

    @Override
    public void cancelAttempt(Request request, int number) {
        ServerAttempt attempt = ((ClientRequest) request).attempt(number);
        loop.submit(() -> attempt.close(CloseReason.CANCELLED));
    }

    @Override
    public void reject(Request request, double retryAfterMs) {
        clients.reject((ClientRequest) request, (long) Math.ceil(retryAfterMs));
    }

    @Override
    public void fail(Request request) {
        clients.fail((ClientRequest) request);
    }

    @Override
    public void setTimer(long token, double delayMs) {
        loop.schedule(delayMs, () -> events.timerFired(token));
    }

    /** Reports the health check as not sent, as the protocol to servers has no health check. */
    @Override
    public void sendHealthCheck(Server server) {
        loop.submit(() -> events.healthCheckEnded(server, AttemptOutcome.NOT_SENT, 0, null));
    }

    @Override
    public void closeIdleConnections(Server server) {
        servers.closeIdleConnections((PooledServer) server);
    }

    @Override
    public void sendGossip(int peer, String text) {
        peers.send(peer, text);
    }

    @Override
    public void incrementCounter(long counterKey, double amount, double ttlMs) {
        counter.increment(counterKey, amount, ttlMs);
    }

    @Override
    public void watchEndpoints(boolean enabled) {
        watch.setEnabled(enabled);
    }

    @Override
    public void fetchEndpoints() {
        watch.fetch();
    }

    @Override
    public void log(String text) {
        LOG.log(Level.INFO, text);
    }
}
