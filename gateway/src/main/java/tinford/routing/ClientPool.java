package tinford.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import tinford.api.Idempotency;
import tinford.api.Plan;
import tinford.api.RequestClass;
import tinford.api.Tenant;
import tinford.protocol.ClientCommand;
import tinford.protocol.ProtocolException;
import tinford.protocol.RespReader;
import tinford.transport.CloseReason;
import tinford.transport.DescriptorBudget;
import tinford.transport.EventLoop;
import tinford.transport.Listener;

/** The clients' side: their connections, and the reqs that are open. */
public final class ClientPool {
    private static final int SPARE =
            16; // for those that come while room is made by ends that take their time
    private static final double SILENCE =
            2000; // from the first; an error or a close is owed within 3 s
    private static final double HALF =
            2300; // with a command come in part: a client may take 2 s for one
    private static final double LOOK = 250;
    private static final double MOST_WAIT =
            3000; // a client that waits longer counts as one that waits so long, at the end
    private static final double LAST_ANSWERS =
            20; // after the longest client timeout nobody waits for one any more
    private static final double LAST_READ = 20; // and so long what was said then has to be read
    final RequestDispatcher desk;
    final RespReader resp = new RespReader(true);
    private final int gateways;
    private final double mostUnits;
    private final double idleMost;
    private final int mostOpen;
    private final int mostLinks;
    private final int ease;
    private final long mostHeld;
    private final Set<ClientConnection> links = new LinkedHashSet<>();
    private final Set<Long> ids = new HashSet<>(); // of the reqs that are open
    private final ArrayDeque<ClientConnection> unread =
            new ArrayDeque<>(); // with a command that there is no room for yet
    private long kept; // for commands under way
    private Catalog catalog;
    private double longest; // that a client waits, under any catalog so far
    private Listener door;
    private Runnable closed;

    /** Another process takes the clients: each connection ends behind its next answer. */
    boolean leaving;

    private int open;
    private long held;
    private boolean cut; // the process goes

    /**
     * @param catalog until another one comes
     * @param gateways that a customer's reqs may come through
     * @param mostUnits of one req
     * @param idleMost how long a connection may stand idle once it has brought a command
     * @param mostOpen reqs at once, of {@code mostHeld} bytes together, and {@code mostLinks}
     *     connections, or as many as there are descriptors for clients where these are fewer
     * @param ease connections from which on those between reqs go for new ones, or from where few
     *     more fit
     */
    public ClientPool(
            RequestDispatcher desk,
            Catalog catalog,
            int gateways,
            double mostUnits,
            double idleMost,
            int mostOpen,
            long mostHeld,
            int mostLinks,
            int ease) {
        this.gateways = gateways;
        this.mostUnits = mostUnits;
        this.idleMost = idleMost;
        this.desk = desk;
        this.mostOpen = mostOpen;
        this.mostLinks = mostLinks;
        this.ease = ease;
        this.mostHeld = mostHeld;
        use(catalog);
    }

    /**
     * For the requests from now on; those that are open keep the frontend and plan that they had.
     */
    void use(Catalog next) {
        catalog = next;
        longest = Math.max(longest, next.longestTimeout());
    }

    /**
     * @param shared another process of this gateway may listen there at the same time
     */
    public void listen(InetSocketAddress at, boolean shared) throws IOException {
        look();
        door =
                new Listener(
                        desk.loop,
                        at,
                        shared,
                        mostLinks,
                        () -> {
                            // guards those to come: clients hold so many connections at most, also
                            // ones that they will not use again
                            if (links.size() >= Math.min(ease, full())) {
                                makeRoom(
                                        links.size() >= full()
                                                ? ClientConnection.BUSY
                                                : ClientConnection.JUST_COME);
                            }
                            // what is not taken is closed unread, so that its client goes elsewhere
                            if (links.size() >= most()) {
                                return null;
                            }
                            ClientConnection link = new ClientConnection(this);
                            link.lastUse = desk.now;
                            links.add(link);
                            return link;
                        });
    }

    private int most() {
        return Math.min(
                mostLinks, desk.loop.descriptorBudget().limit(DescriptorBudget.PeerKind.CLIENTS));
    }

    /** As many as leave places for those that come while room is made for them. */
    private int full() {
        return most() - Math.min(SPARE, most() / 8 + 1);
    }

    private void look() {
        for (ClientConnection l : new ArrayList<>(links)) {
            l.look(desk.now, SILENCE, HALF, idleMost);
        }
        // guards those in the backlog, whom nobody sees: all were at work when they came, and some
        // rest now
        while (links.size() > full() && shut()) {}
        desk.loop.schedule(LOOK, this::look);
    }

    /**
     * Closing between reqs harms nobody: what crosses the close is sent once more by the client.
     * Guards those that ask against those that are turned away or say nothing: these go first, and
     * at once.
     */
    void makeRoom(int most) {
        for (ClientConnection l = least(most); l != null && !l.giveWay(); l = least(most)) {}
    }

    private ClientConnection least(int most) {
        ClientConnection least = null;
        int lowest = most;
        for (ClientConnection l : links) {
            int claim = l.claim(desk.now, SILENCE);
            if (claim < lowest || claim == lowest && claim < most && l.lastUse < least.lastUse) {
                lowest = claim;
                least = l;
            }
        }
        return least;
    }

    /**
     * Room for the command that this link waits to read: at once, or when others have theirs whole,
     * in turn.
     */
    boolean grant(ClientConnection link) {
        // half of what reqs may hold: what has come whole needs its place too
        if (!unread.isEmpty() && unread.peek() != link
                || kept > 0 && kept + link.awaited() > mostHeld / 2
                || link.awaited() > mostHeld) {
            if (!unread.contains(link)) {
                unread.add(link);
            }
            return false;
        }
        unread.remove(link);
        kept += link.awaited();
        link.granted();
        return true;
    }

    void ungrant(ClientConnection link, int bytes) {
        kept -= bytes;
        unread.remove(link);
        while (!unread.isEmpty() && grant(unread.peek())) {}
    }

    ClientRequest exchange(ClientConnection from, ClientCommand ask) throws ProtocolException {
        RequestClass frontend = catalog.frontend(ask.requestClass);
        Plan plan = catalog.plan(ask.tenant, ask.plan);
        if (ask.units > mostUnits || ask.fanIn > gateways || ask.firstGateway >= gateways) {
            throw new ProtocolException(
                    "units up to " + mostUnits + ", spread up to " + gateways + ", first below it");
        }
        if (ask.retryable != (frontend.idempotency == Idempotency.IDEMPOTENT)) {
            throw new ProtocolException("Q.ASK for what may run again, Q.DO for the rest");
        }
        if (frontend.idempotency == Idempotency.IDEMPOTENCY_KEY && !ask.hasIdempotencyKey) {
            throw new ProtocolException("k, the mark against repeats");
        }
        if (ids.contains(ask.id)) {
            throw new ProtocolException(
                    "an id of its own"); // else servers and client would take one req for the other
        }
        return new ClientRequest(
                from,
                ask,
                frontend,
                new Tenant(ask.tenant, plan, ask.fanIn, ask.firstGateway, catalog.revision()),
                desk.looked + Math.min(ask.timeoutMs, frontend.timeoutMs));
    }

    /**
     * @param tooMany wait on its connection already
     */
    void take(ClientRequest e, boolean tooMany) {
        open++;
        held += e.ask.length();
        ids.add(e.id);
        if (cut || tooMany || open > mostOpen || held > mostHeld) {
            deny(e, 0);
        } else {
            desk.in.requestArrived(e);
        }
    }

    void deny(ClientRequest e, long ms) {
        if (over(e)) {
            e.client.say(e.slot, ms > 0 ? "-BUSY " + ms : "-BUSY");
        }
    }

    void abort(ClientRequest e) {
        if (over(e)) {
            e.client.say(e.slot, "-ERR aborted");
        }
    }

    /**
     * Its client has gone: what waits for a connection, or has not left whole, goes nowhere any
     * more.
     */
    void left(ClientRequest e) {
        over(e);
        desk.in.clientDisconnected(e);
        e.dispatches.forEach(desk::withdraw);
    }

    /** False when it was over before. */
    boolean over(ClientRequest e) {
        if (e.over) {
            return false;
        }
        e.over = true;
        open--;
        held -= e.ask.length();
        ids.remove(e.id);
        return true;
    }

    /** Answers that wait for those before them count as well. */
    void held(int bytes) {
        held += bytes;
    }

    void gone(ClientConnection link) {
        links.remove(link);
        if (closed != null && links.isEmpty()) {
            desk.loop.submit(
                    closed::run); // what this end caused, such as units given back, leaves before
            // that
        }
    }

    /**
     * Another process of this gateway has its door open: this one's closes. Each connection ends
     * right behind its next answer, when its client is not about to write; the others after {@code
     * stay}.
     */
    public void leave(double stay, Runnable then) {
        leaving = true;
        while (links.size() > Math.min(ease, full())
                && shut()) {} // both processes together have the descriptors of one
        close(stay, then);
    }

    /**
     * Connections between reqs end, the others right behind their next answer. Guards reqs that
     * cross that: the door is still open, so that their clients find one to send them to once more.
     */
    public void letGo() {
        leaving = true;
        for (ClientConnection l : new ArrayList<>(links)) {
            if (l.rests()) {
                l.closeWhenIdle(CloseReason.CLOSED_IDLE);
            }
        }
    }

    private boolean shut() {
        ClientConnection l = least(ClientConnection.BUSY);
        return l != null && l.giveWay();
    }

    /**
     * Nobody new is let in; those who have just come may stay so long, then each connection ends
     * once all on it is answered.
     */
    public void close(double stay, Runnable then) {
        EventLoop.Task both =
                new EventLoop.Task() {
                    private int heard;

                    @Override
                    public void run() {
                        if (++heard
                                == 2) { // guards those let in last, where the time was over before
                            // they were taken
                            end(then);
                        }
                    }
                };
        door.closeAfterAccepting(both);
        desk.loop.schedule(stay, both);
    }

    /** Each connection ends once all on it is answered. */
    void end(Runnable then) {
        closed = then;
        for (ClientConnection l : new ArrayList<>(links)) {
            l.closeWhenIdle(CloseReason.CLOSED_IDLE);
        }
        if (links.isEmpty()) {
            desk.loop.submit(then::run);
        }
        desk.loop.schedule(Math.min(longest, MOST_WAIT) + LAST_ANSWERS, () -> cutShort(then));
    }

    /**
     * Guards the end against clients that neither read nor close, and against one from outside,
     * which would find reqs without an answer: what is open is answered now, and what is still read
     * after this is denied.
     */
    private void cutShort(Runnable then) {
        cut = true;
        for (ClientConnection l : new ArrayList<>(links)) {
            l.cutShort();
        }
        desk.loop.schedule(LAST_READ, then::run);
    }

    /**
     * Its final answer comes from here, not from the decisions, which hear that nobody waits any
     * more.
     */
    void cutShort(ClientRequest e) {
        if (e.dispatches.isEmpty()) {
            deny(e, 0);
        } else {
            abort(e);
        }
        left(e);
    }
}
