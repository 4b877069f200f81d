package tinford.routing;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.Set;
import java.util.function.LongSupplier;
import tinford.api.End;
import tinford.api.Gateway;
import tinford.api.Inbox;
import tinford.api.Req;
import tinford.api.Srv;
import tinford.api.View;
import tinford.api.Writer;
import tinford.transport.Clock;
import tinford.transport.Ending;
import tinford.transport.Loop;

/**
 * Where the decisions sit: each wake-up's input becomes calls on them, and what they write goes its
 * way.
 */
public final class Desk implements Writer {
    private static final System.Logger LOG = System.getLogger("tinford.routing");
    private static final int MOST_COMPLAINTS = 100;
    private static final double COMPLAIN_AGAIN = 60_000;
    public final Loop loop;
    private final Clock clock = new Clock();
    private final Gateway gateway;
    private final int mostDispatches;
    private final Set<String> complaints = new HashSet<>();
    private double complaintsSince;
    private Clients clients;
    private Servers servers;
    private Counter counter;
    private Watch watch;
    private Peers peers;

    /** What a fleet has settled; alone, it bounds nothing. */
    View view = new View();

    /** Of the present round. */
    Inbox in;

    double now = clock.now();

    /** When the sockets were last looked at: what came in since was sent no earlier. */
    double looked = now;

    /**
     * @param bytes what the buffers of all connections may take
     */
    public Desk(Gateway gateway, int mostDispatches, int descriptors, long bytes)
            throws IOException {
        this(gateway, mostDispatches, descriptors, bytes, System::nanoTime);
    }

    /**
     * @param nanos the time that timers go by
     */
    Desk(Gateway gateway, int mostDispatches, int descriptors, long bytes, LongSupplier nanos)
            throws IOException {
        this.gateway = gateway;
        this.mostDispatches = mostDispatches;
        this.loop = new Loop(this::turn, descriptors, bytes, nanos);
    }

    public void seat(Clients clients, Servers servers, Counter counter, Watch watch, Peers peers) {
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
    public void sees(View fleet) {
        view = fleet;
        in.sees(fleet);
    }

    /** Within a round: what clients may ask for from now on. */
    public void use(Catalog catalog) {
        clients.use(catalog);
        in.plansInForce(catalog.plansInForce());
    }

    /**
     * Within a round: this process has the reqs of this gateway from another one, or gives them to
     * one.
     */
    public void takesOver() {
        in.takesOver();
    }

    public void leaves() {
        in.leaves();
    }

    private void turn() {
        looked = now;
        now = clock.now();
        gateway.round(
                now,
                inbox -> {
                    in = inbox;
                    loop.playAll();
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
    void began(Dispatch d) {
        d.stop();
        clients.over(d.exchange);
        in.began(d.exchange, d.no);
    }

    void ended(Dispatch d, End how, int seenUse, double settled, double[] load) {
        if (d.ended) {
            return;
        }
        d.ended = true;
        d.stop();
        Exchange e = d.exchange;
        if (how == End.GOOD) {
            clients.over(e);
        }
        in.ended(e, d.no, how, now - d.at, e.over, seenUse, settled, load);
    }

    @Override
    public void dispatch(Req req, Srv srv, double cap, double within) {
        Exchange e = (Exchange) req;
        Dispatch d = new Dispatch(e, e.dispatches.size(), now);
        e.dispatches.add(d);
        double left = e.expires - now;
        double wait = cap == 0 ? left : Math.min(cap, left);
        if (e.over || wait <= 0 || d.no >= mostDispatches) {
            loop.due(
                    () ->
                            ended(
                                    d,
                                    e.over || d.no >= mostDispatches ? End.VOID : End.TIMED_OUT,
                                    0,
                                    0,
                                    null));
            return;
        }
        servers.carry(d, (Backend) srv, (long) Math.ceil(wait));
        d.cap = loop.after(wait, () -> stop(d, Ending.SILENT));
        if (within < wait) {
            d.leaving = loop.after(within, () -> withdraw(d));
        }
    }

    /** Gives up what its server can't have whole yet: it stays void. */
    void withdraw(Dispatch d) {
        if (!d.ended && d.link != null && !d.link.left()) {
            d.link.end(Ending.DROPPED);
        }
    }

    @Override
    public void cancel(Req req, int hop) {
        Dispatch d = ((Exchange) req).dispatches.get(hop);
        loop.due(() -> stop(d, Ending.DROPPED));
    }

    private void stop(Dispatch d, Ending how) {
        if (!d.ended && d.link != null) {
            d.link.end(how);
        }
    }

    @Override
    public void deny(Req req, double retryAfter) {
        clients.deny((Exchange) req, (long) Math.ceil(retryAfter));
    }

    @Override
    public void abort(Req req) {
        clients.abort((Exchange) req);
    }

    @Override
    public void alarm(long token, double wait) {
        loop.after(wait, () -> in.alarm(token));
    }

    @Override
    public void probe(Srv srv) {
        // no probe stands in this protocol
        loop.due(() -> in.probed(srv, End.VOID, 0, null));
    }

    @Override
    public void closeIdle(Srv srv) {
        servers.retire((Backend) srv);
    }

    @Override
    public void tell(int peer, String text) {
        peers.tell(peer, text);
    }

    @Override
    public void add(long name, double amount, double keep) {
        counter.add(name, amount, keep);
    }

    @Override
    public void watch(boolean on) {
        watch.want(on);
    }

    @Override
    public void fetchList() {
        watch.fetch();
    }

    @Override
    public void log(String text) {
        LOG.log(Level.INFO, text);
    }
}
