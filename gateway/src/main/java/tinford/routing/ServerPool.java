package tinford.routing;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tinford.api.Server;
import tinford.protocol.RespReader;
import tinford.protocol.UsageReport;
import tinford.settings.JsonFields;
import tinford.transport.CloseReason;
import tinford.transport.DescriptorBudget;

/** The servers of the list, and the connections to them. */
public final class ServerPool {
    private static final double REST = 10; // what was sent in one go has come by then
    private static final int MOST_GONE = 4096; // names of servers that were listed once
    final RequestDispatcher desk;
    final RespReader resp = new RespReader();
    private final Map<String, PooledServer> backends = new LinkedHashMap<>();
    private final ServerExclusions bans = new ServerExclusions();
    private final Set<String> gone =
            Collections.newSetFromMap(
                    new LinkedHashMap<>() {
                        private static final long serialVersionUID = 1L;

                        @Override
                        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                            return size() > MOST_GONE;
                        }
                    });
    final double connectWithin;
    private final double idleMost;
    private final int most;
    private final List<String> loadNames;
    private int links;
    private long backendsMade;

    /**
     * @param idleMost how long a connection may stand idle before the server closes it
     * @param most connections to all servers together
     */
    public ServerPool(
            RequestDispatcher desk,
            double connectWithin,
            double idleMost,
            int most,
            List<String> loadNames) {
        this.desk = desk;
        this.connectWithin = connectWithin;
        this.idleMost = idleMost;
        this.most = most;
        this.loadNames = loadNames;
        sweep();
    }

    /** A list in discovery's form, as the decisions take it. */
    public void list(JsonFields list) {
        List<Server> entries = new ArrayList<>();
        List<PooledServer> left = new ArrayList<>();
        List<JsonFields> hosts = list.objects("hosts");
        boolean whole = list.flag("whole");
        hosts.forEach(ServerPool::check);
        for (JsonFields e : hosts) {
            PooledServer b = backends.computeIfAbsent(e.text("host"), this::newBackend);
            b.listed = state(e);
            b.updateState(state(b));
            entries.add(b);
            if (b.state() == Server.State.REMOVED) {
                continue; // of what is gone nothing else needs to be told
            }
            InetSocketAddress dial = Addresses.of(e, "dial");
            double born = e.number("born_ms", 0);
            if (!dial.equals(b.dial) || born != b.listedBorn) {
                left.add(b); // its connections lead to what was there before
            }
            b.dial = dial;
            b.listedBorn = born;
            b.updateStartTime(bans.born(b.id, born));
            b.updateAttributes(
                    e.text("site"),
                    (int) e.integer("block", 0),
                    e.has("class") ? e.text("class") : "",
                    e.number("share", 1));
        }
        desk.in.endpointsUpdated(entries, whole);
        left.forEach(this::leave);
        Set<Server> named = new HashSet<>(entries);
        for (PooledServer b : whole ? new ArrayList<>(backends.values()) : inOrder(named)) {
            boolean absent = whole && !named.contains(b);
            if (b.state() != Server.State.UP || absent) {
                leave(b);
            }
            if (b.state() == Server.State.REMOVED || absent) {
                backends.remove(b.id);
                gone.add(b.id);
            }
        }
    }

    private PooledServer newBackend(String id) {
        gone.remove(id);
        return new PooledServer(id, backendsMade++);
    }

    /** In the order of the table: it decides whose dispatches end first. */
    private static List<PooledServer> inOrder(Set<Server> named) {
        List<PooledServer> found = new ArrayList<>();
        named.forEach(s -> found.add((PooledServer) s));
        found.sort(Comparator.comparingLong(b -> b.sequence));
        return found;
    }

    /** What the operators have taken out drains, whatever the list says. */
    private Server.State state(PooledServer b) {
        return b.listed == Server.State.UP && bans.holds(b.id) ? Server.State.DRAINING : b.listed;
    }

    /** Listed at some time, or taken out or put back before. */
    boolean knows(String id) {
        return backends.containsKey(id) || gone.contains(id) || bans.knows(id);
    }

    /** Takes a line of the operators' record. */
    void ban(String line) {
        PooledServer b = backends.get(bans.take(line));
        if (b == null || b.state() == state(b)) {
            return;
        }
        b.updateState(state(b));
        b.updateStartTime(bans.born(b.id, b.listedBorn));
        leave(b);
        desk.in.endpointsUpdated(List.of(b), false);
    }

    private static Server.State state(JsonFields e) {
        return switch (e.text("health")) {
            case "ready" -> Server.State.UP;
            case "draining" -> Server.State.DRAINING;
            case "gone" -> Server.State.REMOVED;
            default -> throw e.invalid("health", "ready, draining or gone");
        };
    }

    // guards the list in force: one entry that can't be read must not leave another half taken over
    private static void check(JsonFields e) {
        e.text("host");
        if (state(e) != Server.State.REMOVED) {
            Addresses.of(e, "dial");
            e.number("born_ms", 0);
            e.text("site");
            e.integer("block", 0);
            if (e.has("class")) {
                e.text("class");
            }
            e.number("share", 1);
        }
    }

    void carry(ServerAttempt d, PooledServer b, long patience) {
        ServerConnection link = rested(b);
        if (link == null) {
            for (int n = desk.loop.descriptorBudget().shortage(DescriptorBudget.PeerKind.SERVERS);
                    n > 0;
                    n--) {
                makeRoom();
            }
            link = new ServerConnection(desk, this, b);
            b.opening.add(link);
            link.carry(d, patience);
            if (b.links >= desk.view.connectionLimit(b)
                    && !b.idle.isEmpty()) { // one that has not rested gives its place
                ServerConnection old = b.idle.peekLast();
                old.next = link;
                old.close(CloseReason.CLOSED_IDLE);
            } else {
                open(link);
            }
        } else {
            link.carry(d, patience);
        }
    }

    /** The one place that holds what the fleet may hold at a server. */
    private void open(ServerConnection link) {
        PooledServer b = link.backend;
        boolean room = b.links < desk.view.connectionLimit(b) && links < most;
        if (room) {
            link.counts = true;
            links++;
            b.links++;
            desk.view.connectionOpened(b);
        }
        link.connect(room ? connectWithin : 0);
    }

    /**
     * Guards against what comes behind an answer: a connection is used again only once it has been
     * left alone for a moment, and is found with nothing in it when it is looked at once more.
     */
    private ServerConnection rested(PooledServer b) {
        for (ServerConnection link : b.idle) {
            if (desk.now - link.idleSince >= REST && link.isQuiet()) {
                b.idle.remove(link);
                return link;
            }
        }
        return null;
    }

    private void makeRoom() {
        for (PooledServer b : backends.values()) {
            if (!b.idle.isEmpty()) {
                b.idle.peekLast().close(CloseReason.CLOSED_IDLE);
                return;
            }
        }
    }

    void free(ServerConnection link) {
        if (link.backend.state() == Server.State.UP
                && link.backend.links - link.backend.leaving
                        <= desk.view.connectionLimit(link.backend)) {
            link.idleSince = desk.now;
            link.backend.idle.addFirst(link);
        } else {
            link.close(CloseReason.CLOSED_IDLE);
        }
    }

    void gone(ServerConnection link, CloseReason how) {
        link.backend.leaving += link.counts ? 1 : 0;
        link.backend.idle.remove(link);
        link.backend.opening.remove(link);
        // guards against connections that look idle and lead to a machine that is gone: none can be
        // opened to it
        if (how == CloseReason.CONNECT_REFUSED || how == CloseReason.CONNECT_TIMEOUT) {
            retire(link.backend);
        }
    }

    void closed(ServerConnection link) {
        if (link.counts) {
            links--;
            link.backend.links--;
            link.backend.leaving--;
            desk.view.connectionClosed(link.backend);
        }
        if (link.next != null && !link.next.isClosed()) {
            open(link.next);
        }
    }

    /**
     * What the fleet may hold has become less somewhere: idle connections go now, the others behind
     * their answers.
     */
    public void trim() {
        for (PooledServer b : backends.values()) {
            while (b.links - b.leaving > desk.view.connectionLimit(b) && !b.idle.isEmpty()) {
                b.idle.peekLast().close(CloseReason.CLOSED_IDLE);
            }
        }
    }

    /**
     * Nothing new goes there: guards against a dispatch that waits for its connection and leaves
     * when that comes up.
     */
    private void leave(PooledServer b) {
        retire(b);
        for (ServerConnection link : new ArrayList<>(b.opening)) {
            link.close(CloseReason.CANCELLED);
        }
    }

    void retire(PooledServer b) {
        while (!b.idle.isEmpty()) {
            b.idle.peekFirst().close(CloseReason.CLOSED_IDLE);
        }
    }

    // guards against a command that crosses the server's own close of an idle connection
    private void sweep() {
        for (PooledServer b : backends.values()) {
            while (!b.idle.isEmpty() && desk.now - b.idle.peekLast().idleSince > 0.75 * idleMost) {
                b.idle.peekLast().close(CloseReason.CLOSED_IDLE);
            }
        }
        desk.loop.schedule(idleMost / 16, this::sweep);
    }

    double[] report(String load) {
        return loadNames.isEmpty() ? null : UsageReport.loadReport(load, loadNames);
    }
}
