package tinford.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import tinford.api.Customer;
import tinford.api.Effect;
import tinford.api.Frontend;
import tinford.api.Plan;
import tinford.protocol.Ask;
import tinford.protocol.Malformed;
import tinford.protocol.Resp;
import tinford.transport.Descriptors;
import tinford.transport.Door;
import tinford.transport.Ending;
import tinford.transport.Loop;

/** The clients' side: their connections, and the reqs that are open. */
public final class Clients {
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
    final Desk desk;
    final Resp resp = new Resp(true);
    private final int gateways;
    private final double mostUnits;
    private final double idleMost;
    private final int mostOpen;
    private final int mostLinks;
    private final int ease;
    private final long mostHeld;
    private final Set<ClientLink> links = new LinkedHashSet<>();
    private final Set<Long> ids = new HashSet<>(); // of the reqs that are open
    private final ArrayDeque<ClientLink> unread =
            new ArrayDeque<>(); // with a command that there is no room for yet
    private long kept; // for commands under way
    private Catalog catalog;
    private double longest; // that a client waits, under any catalog so far
    private Door door;
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
    public Clients(
            Desk desk,
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
                new Door(
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
                                                ? ClientLink.BUSY
                                                : ClientLink.JUST_COME);
                            }
                            // what is not taken is closed unread, so that its client goes elsewhere
                            if (links.size() >= most()) {
                                return null;
                            }
                            ClientLink link = new ClientLink(this);
                            link.lastUse = desk.now;
                            links.add(link);
                            return link;
                        });
    }

    private int most() {
        return Math.min(mostLinks, desk.loop.descriptors().most(Descriptors.Party.CLIENTS));
    }

    /** As many as leave places for those that come while room is made for them. */
    private int full() {
        return most() - Math.min(SPARE, most() / 8 + 1);
    }

    private void look() {
        for (ClientLink l : new ArrayList<>(links)) {
            l.look(desk.now, SILENCE, HALF, idleMost);
        }
        // guards those in the backlog, whom nobody sees: all were at work when they came, and some
        // rest now
        while (links.size() > full() && shut()) {}
        desk.loop.after(LOOK, this::look);
    }

    /**
     * Closing between reqs harms nobody: what crosses the close is sent once more by the client.
     * Guards those that ask against those that are turned away or say nothing: these go first, and
     * at once.
     */
    void makeRoom(int most) {
        for (ClientLink l = least(most); l != null && !l.giveWay(); l = least(most)) {}
    }

    private ClientLink least(int most) {
        ClientLink least = null;
        int lowest = most;
        for (ClientLink l : links) {
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
    boolean grant(ClientLink link) {
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

    void ungrant(ClientLink link, int bytes) {
        kept -= bytes;
        unread.remove(link);
        while (!unread.isEmpty() && grant(unread.peek())) {}
    }

    Exchange exchange(ClientLink from, Ask ask) throws Malformed {
        Frontend frontend = catalog.frontend(ask.frontend);
        Plan plan = catalog.plan(ask.customer, ask.plan);
        if (ask.units > mostUnits || ask.width > gateways || ask.first >= gateways) {
            throw new Malformed(
                    "units up to " + mostUnits + ", spread up to " + gateways + ", first below it");
        }
        if (ask.resendable != (frontend.effect == Effect.IDEMPOTENT)) {
            throw new Malformed("Q.ASK for what may run again, Q.DO for the rest");
        }
        if (frontend.effect == Effect.IDEMPOTENCY_KEY && !ask.keyed) {
            throw new Malformed("k, the mark against repeats");
        }
        if (ids.contains(ask.id)) {
            throw new Malformed(
                    "an id of its own"); // else servers and client would take one req for the other
        }
        return new Exchange(
                from,
                ask,
                frontend,
                new Customer(ask.customer, plan, ask.width, ask.first, catalog.revision()),
                desk.looked + Math.min(ask.patience, frontend.timeout));
    }

    /**
     * @param tooMany wait on its connection already
     */
    void take(Exchange e, boolean tooMany) {
        open++;
        held += e.ask.length();
        ids.add(e.id);
        if (cut || tooMany || open > mostOpen || held > mostHeld) {
            deny(e, 0);
        } else {
            desk.in.arrived(e);
        }
    }

    void deny(Exchange e, long ms) {
        if (over(e)) {
            e.client.say(e.slot, ms > 0 ? "-BUSY " + ms : "-BUSY");
        }
    }

    void abort(Exchange e) {
        if (over(e)) {
            e.client.say(e.slot, "-ERR aborted");
        }
    }

    /**
     * Its client has gone: what waits for a connection, or has not left whole, goes nowhere any
     * more.
     */
    void left(Exchange e) {
        over(e);
        desk.in.left(e);
        e.dispatches.forEach(desk::withdraw);
    }

    /** False when it was over before. */
    boolean over(Exchange e) {
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

    void gone(ClientLink link) {
        links.remove(link);
        if (closed != null && links.isEmpty()) {
            desk.loop.due(
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
        for (ClientLink l : new ArrayList<>(links)) {
            if (l.rests()) {
                l.close(Ending.RETIRED);
            }
        }
    }

    private boolean shut() {
        ClientLink l = least(ClientLink.BUSY);
        return l != null && l.giveWay();
    }

    /**
     * Nobody new is let in; those who have just come may stay so long, then each connection ends
     * once all on it is answered.
     */
    public void close(double stay, Runnable then) {
        Loop.Due both =
                new Loop.Due() {
                    private int heard;

                    @Override
                    public void play() {
                        if (++heard
                                == 2) { // guards those let in last, where the time was over before
                            // they were taken
                            end(then);
                        }
                    }
                };
        door.close(both);
        desk.loop.after(stay, both);
    }

    /** Each connection ends once all on it is answered. */
    void end(Runnable then) {
        closed = then;
        for (ClientLink l : new ArrayList<>(links)) {
            l.close(Ending.RETIRED);
        }
        if (links.isEmpty()) {
            desk.loop.due(then::run);
        }
        desk.loop.after(Math.min(longest, MOST_WAIT) + LAST_ANSWERS, () -> cutShort(then));
    }

    /**
     * Guards the end against clients that neither read nor close, and against one from outside,
     * which would find reqs without an answer: what is open is answered now, and what is still read
     * after this is denied.
     */
    private void cutShort(Runnable then) {
        cut = true;
        for (ClientLink l : new ArrayList<>(links)) {
            l.cutShort();
        }
        desk.loop.after(LAST_READ, then::run);
    }

    /**
     * Its final answer comes from here, not from the decisions, which hear that nobody waits any
     * more.
     */
    void cutShort(Exchange e) {
        if (e.dispatches.isEmpty()) {
            deny(e, 0);
        } else {
            abort(e);
        }
        left(e);
    }
}
