package tinford.routing;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.Set;
import java.util.function.LongSupplier;
import tinford.api.AttemptOutcome;
import tinford.api.DecisionModule;
import tinford.api.FleetPolicy;
import tinford.api.GatewayActions;
import tinford.api.GatewayEvents;
import tinford.api.Request;
import tinford.api.Server;
import tinford.transport.Clock;
import tinford.transport.CloseReason;
import tinford.transport.EventLoop;

/**
 * Where the decisions sit: each wake-up's input becomes calls on them, and what they write goes its
 * way.
 */
public final class RequestDispatcher implements GatewayActions {
    private static final System.Logger LOG = System.getLogger("tinford.routing");
    private static final int MOST_COMPLAINTS = 100;
    private static final double COMPLAIN_AGAIN = 60_000;
    public final EventLoop loop;
    private final Clock clock = new Clock();
    private final DecisionModule gateway;
    private final int mostDispatches;
    private final Set<String> complaints = new HashSet<>();
    private double complaintsSince;
    private ClientPool clients;
    private ServerPool servers;
    private CounterClient counter;
    private DiscoveryWatch watch;
    private PeerMessenger peers;

    /** What a fleet has settled; alone, it bounds nothing. */
    FleetPolicy view = new FleetPolicy();

    /** Of the present round. */
    GatewayEvents in;

    double now = clock.nowMs();

    /** When the sockets were last looked at: what came in since was sent no earlier. */
    double looked = now;

    /**
     * @param bytes what the buffers of all connections may take
     */
    public RequestDispatcher(
            DecisionModule gateway, int mostDispatches, int descriptors, long bytes)
            throws IOException {
        this(gateway, mostDispatches, descriptors, bytes, System::nanoTime);
    }

    /**
     * @param nanos the time that timers go by
     */
    RequestDispatcher(
            DecisionModule gateway,
            int mostDispatches,
            int descriptors,
            long bytes,
            LongSupplier nanos)
            throws IOException {
        this.gateway = gateway;
        this.mostDispatches = mostDispatches;
        this.loop = new EventLoop(this::turn, descriptors, bytes, nanos);
    }

    public void seat(
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

    /** The first thing within the first round. */
    public void begin() {
        in.started();
    }

    /** Within a round: the gateway is one of a fleet from now on. */
    public void sees(FleetPolicy fleet) {
        view = fleet;
        in.fleetPolicyChanged(fleet);
    }

    /** Within a round: what clients may ask for from now on. */
    public void use(Catalog catalog) {
        clients.use(catalog);
        in.plansChanged(catalog.plansInForce());
    }

    /**
     * Within a round: this process has the reqs of this gateway from another one, or gives them to
     * one.
     */
    public void takesOver() {
        in.takeoverStarted();
    }

    public void leaves() {
        in.drainingStarted();
    }

    private void turn() {
        looked = now;
        now = clock.nowMs();
        gateway.handleBatch(
                now,
                inbox -> {
                    in = inbox;
                    loop.runDueTasks();
                },
                this);
    }

    /**
     * Once a while for what is wrong, not once a req; of several that do the same the first is
     * named.
     */
    void complain(Level level, String who, String name, Exception what) {
        if (now - complaintsSince > COMPLAIN_AGAIN) {
            complaints.clear();
            complaintsSince = now;
        }
        if (complaints.size() < MOST_COMPLAINTS && complaints.add(who + what.getMessage())) {
            LOG.log(level, who + (name.isEmpty() ? "" : " " + name) + ": " + what.getMessage());
        }
    }

    /**
     * A long answer begins to flow to its client: that is the req's final answer, and no time
     * counts any more.
     */
    void began(ServerAttempt d) {
        d.stop();
        clients.over(d.exchange);
        in.responseStarted(d.exchange, d.no);
    }

    void ended(ServerAttempt d, AttemptOutcome how, int seenUse, double settled, double[] load) {
        if (d.ended) {
            return;
        }
        d.ended = true;
        d.stop();
        ClientRequest e = d.exchange;
        if (how == AttemptOutcome.SUCCESS) {
            clients.over(e);
        }
        in.attemptEnded(e, d.no, how, now - d.at, e.over, seenUse, settled, load);
    }

    @Override
    public void sendAttempt(Request req, Server srv, double cap, double within) {
        ClientRequest e = (ClientRequest) req;
        ServerAttempt d = new ServerAttempt(e, e.dispatches.size(), now);
        e.dispatches.add(d);
        double left = e.deadlineMs - now;
        double wait = cap == 0 ? left : Math.min(cap, left);
        if (e.over || wait <= 0 || d.no >= mostDispatches) {
            loop.submit(
                    () ->
                            ended(
                                    d,
                                    e.over || d.no >= mostDispatches
                                            ? AttemptOutcome.NOT_SENT
                                            : AttemptOutcome.TIMED_OUT,
                                    0,
                                    0,
                                    null));
            return;
        }
        servers.carry(d, (PooledServer) srv, (long) Math.ceil(wait));
        d.cap = loop.schedule(wait, () -> stop(d, CloseReason.RESPONSE_TIMEOUT));
        if (within < wait) {
            d.leaving = loop.schedule(within, () -> withdraw(d));
        }
    }

    /** Gives up what its server can't have whole yet: it stays void. */
    void withdraw(ServerAttempt d) {
        if (!d.ended && d.link != null && !d.link.left()) {
            d.link.close(CloseReason.CANCELLED);
        }
    }

    @Override
    public void cancelAttempt(Request req, int hop) {
        ServerAttempt d = ((ClientRequest) req).dispatches.get(hop);
        loop.submit(() -> stop(d, CloseReason.CANCELLED));
    }

    private void stop(ServerAttempt d, CloseReason how) {
        if (!d.ended && d.link != null) {
            d.link.close(how);
        }
    }

    @Override
    public void reject(Request req, double retryAfter) {
        clients.deny((ClientRequest) req, (long) Math.ceil(retryAfter));
    }

    @Override
    public void fail(Request req) {
        clients.abort((ClientRequest) req);
    }

    @Override
    public void setTimer(long token, double wait) {
        loop.schedule(wait, () -> in.timerFired(token));
    }

    @Override
    public void sendHealthCheck(Server srv) {
        // no probe stands in this protocol
        loop.submit(() -> in.healthCheckEnded(srv, AttemptOutcome.NOT_SENT, 0, null));
    }

    @Override
    public void closeIdleConnections(Server srv) {
        servers.retire((PooledServer) srv);
    }

    @Override
    public void sendGossip(int peer, String text) {
        peers.tell(peer, text);
    }

    @Override
    public void incrementCounter(long name, double amount, double keep) {
        counter.add(name, amount, keep);
    }

    @Override
    public void watchEndpoints(boolean on) {
        watch.want(on);
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
