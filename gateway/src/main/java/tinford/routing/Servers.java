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
import tinford.api.Srv;
import tinford.handed.Fields;
import tinford.protocol.Resp;
import tinford.protocol.Usage;
import tinford.transport.Descriptors;
import tinford.transport.Ending;

/** The servers of the list, and the connections to them. */
public final class Servers {
    private static final double REST = 10; // what was sent in one go has come by then
    private static final int MOST_GONE = 4096; // names of servers that were listed once
    final Desk desk;
    final Resp resp = new Resp();
    private final Map<String, Backend> backends = new LinkedHashMap<>();
    private final Bans bans = new Bans();
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
    public Servers(
            Desk desk, double connectWithin, double idleMost, int most, List<String> loadNames) {
        this.desk = desk;
        this.connectWithin = connectWithin;
        this.idleMost = idleMost;
        this.most = most;
        this.loadNames = loadNames;
        sweep();
    }

    /** A list in discovery's form, as the decisions take it. */
    public void list(Fields list) {
        List<Srv> entries = new ArrayList<>();
        List<Backend> left = new ArrayList<>();
        List<Fields> hosts = list.parts("hosts");
        boolean whole = list.flag("whole");
        hosts.forEach(Servers::check);
        for (Fields e : hosts) {
            Backend b = backends.computeIfAbsent(e.text("host"), this::newBackend);
            b.listed = state(e);
            b.state = state(b);
            entries.add(b);
            if (b.state == Srv.State.REMOVED) {
                continue; // of what is gone nothing else needs to be told
            }
            InetSocketAddress dial = Addresses.of(e, "dial");
            double born = e.real("born_ms", 0);
            if (!dial.equals(b.dial) || born != b.listedBorn) {
                left.add(b); // its connections lead to what was there before
            }
            b.dial = dial;
            b.listedBorn = born;
            b.born = bans.born(b.id, born);
            b.zone = e.text("site");
            b.cell = (int) e.whole("block", 0);
            b.group = e.has("class") ? e.text("class") : "";
            b.size = e.real("share", 1);
        }
        desk.in.listed(entries, whole);
        left.forEach(this::leave);
        Set<Srv> named = new HashSet<>(entries);
        for (Backend b : whole ? new ArrayList<>(backends.values()) : inOrder(named)) {
            boolean absent = whole && !named.contains(b);
            if (b.state != Srv.State.UP || absent) {
                leave(b);
            }
            if (b.state == Srv.State.REMOVED || absent) {
                backends.remove(b.id);
                gone.add(b.id);
            }
        }
    }

    private Backend newBackend(String id) {
        gone.remove(id);
        return new Backend(id, backendsMade++);
    }

    /** In the order of the table: it decides whose dispatches end first. */
    private static List<Backend> inOrder(Set<Srv> named) {
        List<Backend> found = new ArrayList<>();
        named.forEach(s -> found.add((Backend) s));
        found.sort(Comparator.comparingLong(b -> b.sequence));
        return found;
    }

    /** What the operators have taken out drains, whatever the list says. */
    private Srv.State state(Backend b) {
        return b.listed == Srv.State.UP && bans.holds(b.id) ? Srv.State.DRAINING : b.listed;
    }

    /** Listed at some time, or taken out or put back before. */
    boolean knows(String id) {
        return backends.containsKey(id) || gone.contains(id) || bans.knows(id);
    }

    /** Takes a line of the operators' record. */
    void ban(String line) {
        Backend b = backends.get(bans.take(line));
        if (b == null || b.state == state(b)) {
            return;
        }
        b.state = state(b);
        b.born = bans.born(b.id, b.listedBorn);
        leave(b);
        desk.in.listed(List.of(b), false);
    }

    private static Srv.State state(Fields e) {
        return switch (e.text("health")) {
            case "ready" -> Srv.State.UP;
            case "draining" -> Srv.State.DRAINING;
            case "gone" -> Srv.State.REMOVED;
            default -> throw e.bad("health", "ready, draining or gone");
        };
    }

    // guards the list in force: one entry that can't be read must not leave another half taken over
    private static void check(Fields e) {
        e.text("host");
        if (state(e) != Srv.State.REMOVED) {
            Addresses.of(e, "dial");
            e.real("born_ms", 0);
            e.text("site");
            e.whole("block", 0);
            if (e.has("class")) {
                e.text("class");
            }
            e.real("share", 1);
        }
    }

    void carry(Dispatch d, Backend b, long patience) {
        ServerLink link = rested(b);
        if (link == null) {
            for (int n = desk.loop.descriptors().lacking(Descriptors.Party.SERVERS); n > 0; n--) {
                makeRoom();
            }
            link = new ServerLink(desk, this, b);
            b.opening.add(link);
            link.carry(d, patience);
            if (b.links >= desk.view.mayHold(b)
                    && !b.idle.isEmpty()) { // one that has not rested gives its place
                ServerLink old = b.idle.peekLast();
                old.next = link;
                old.end(Ending.RETIRED);
            } else {
                open(link);
            }
        } else {
            link.carry(d, patience);
        }
    }

    /** The one place that holds what the fleet may hold at a server. */
    private void open(ServerLink link) {
        Backend b = link.backend;
        boolean room = b.links < desk.view.mayHold(b) && links < most;
        if (room) {
            link.counts = true;
            links++;
            b.links++;
            desk.view.opened(b);
        }
        link.connect(room ? connectWithin : 0);
    }

    /**
     * Guards against what comes behind an answer: a connection is used again only once it has been
     * left alone for a moment, and is found with nothing in it when it is looked at once more.
     */
    private ServerLink rested(Backend b) {
        for (ServerLink link : b.idle) {
            if (desk.now - link.idleSince >= REST && link.quiet()) {
                b.idle.remove(link);
                return link;
            }
        }
        return null;
    }

    private void makeRoom() {
        for (Backend b : backends.values()) {
            if (!b.idle.isEmpty()) {
                b.idle.peekLast().end(Ending.RETIRED);
                return;
            }
        }
    }

    void free(ServerLink link) {
        if (link.backend.state == Srv.State.UP
                && link.backend.links - link.backend.leaving <= desk.view.mayHold(link.backend)) {
            link.idleSince = desk.now;
            link.backend.idle.addFirst(link);
        } else {
            link.end(Ending.RETIRED);
        }
    }

    void gone(ServerLink link, Ending how) {
        link.backend.leaving += link.counts ? 1 : 0;
        link.backend.idle.remove(link);
        link.backend.opening.remove(link);
        // guards against connections that look idle and lead to a machine that is gone: none can be
        // opened to it
        if (how == Ending.REFUSED || how == Ending.NEVER_UP) {
            retire(link.backend);
        }
    }

    void closed(ServerLink link) {
        if (link.counts) {
            links--;
            link.backend.links--;
            link.backend.leaving--;
            desk.view.closed(link.backend);
        }
        if (link.next != null && !link.next.over()) {
            open(link.next);
        }
    }

    /**
     * What the fleet may hold has become less somewhere: idle connections go now, the others behind
     * their answers.
     */
    public void trim() {
        for (Backend b : backends.values()) {
            while (b.links - b.leaving > desk.view.mayHold(b) && !b.idle.isEmpty()) {
                b.idle.peekLast().end(Ending.RETIRED);
            }
        }
    }

    /**
     * Nothing new goes there: guards against a dispatch that waits for its connection and leaves
     * when that comes up.
     */
    private void leave(Backend b) {
        retire(b);
        for (ServerLink link : new ArrayList<>(b.opening)) {
            link.end(Ending.DROPPED);
        }
    }

    void retire(Backend b) {
        while (!b.idle.isEmpty()) {
            b.idle.peekFirst().end(Ending.RETIRED);
        }
    }

    // guards against a command that crosses the server's own close of an idle connection
    private void sweep() {
        for (Backend b : backends.values()) {
            while (!b.idle.isEmpty() && desk.now - b.idle.peekLast().idleSince > 0.75 * idleMost) {
                b.idle.peekLast().end(Ending.RETIRED);
            }
        }
        desk.loop.after(idleMost / 16, this::sweep);
    }

    double[] report(String load) {
        return loadNames.isEmpty() ? null : Usage.report(load, loadNames);
    }
}
