package tinford.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import tinford.api.Customer;
import tinford.api.Frontend;
import tinford.api.Plan;
import tinford.protocol.Ask;
import tinford.protocol.Malformed;
import tinford.protocol.Resp;
import tinford.transport.Door;
import tinford.transport.Ending;

/** The clients' side: their connections, and the reqs that are open. */
public final class Clients {
    private static final int SPARE = 32; // for those that come while room is made by ends that take their time
    final Desk desk;
    final Resp resp = new Resp();
    private final Map<String, Frontend> frontends;
    private final Map<String, Plan> plans;
    private final int mostOpen;
    private final int mostLinks;
    private final long mostHeld;
    private final Set<ClientLink> links = new LinkedHashSet<>();
    private Door door;
    private Runnable closed;
    private int open;
    private long held;

    /** @param mostOpen reqs at once, of {@code mostHeld} bytes together, and {@code mostLinks} connections */
    public Clients(Desk desk, Map<String, Frontend> frontends, Map<String, Plan> plans, int mostOpen, long mostHeld,
            int mostLinks) {
        this.desk = desk;
        this.frontends = frontends;
        this.plans = plans;
        this.mostOpen = mostOpen;
        this.mostLinks = mostLinks;
        this.mostHeld = mostHeld;
    }

    public void listen(InetSocketAddress at) throws IOException {
        door = new Door(desk.loop, at, mostLinks + 2 * SPARE, () -> {
            if (links.size() >= mostLinks) {
                makeRoom();
            }
            // what is not taken is closed unread, so that its client goes elsewhere
            if (links.size() >= mostLinks + SPARE || closed != null) {
                return null;
            }
            ClientLink link = new ClientLink(this);
            link.lastUse = desk.now;
            links.add(link);
            return link;
        });
    }

    /** Closing between reqs harms nobody: what crosses the close is sent once more by the client. */
    private void makeRoom() {
        ClientLink oldest = null;
        for (ClientLink l : links) {
            if (l.idle() && !l.closing() && (oldest == null || l.lastUse < oldest.lastUse)) {
                oldest = l;
            }
        }
        if (oldest != null) {
            oldest.close(Ending.RETIRED);
        }
    }

    Exchange exchange(ClientLink from, Ask ask) throws Malformed {
        Frontend frontend = frontends.get(ask.frontend);
        if (frontend == null) {
            throw new Malformed("c to be one of " + frontends.keySet());
        }
        Plan plan = plans.get(ask.plan);
        if (plan == null) {
            throw new Malformed("t to be one of " + plans.keySet());
        }
        return new Exchange(from, ask, frontend, new Customer(ask.customer, plan, ask.width, ask.first),
                desk.looked + ask.patience);
    }

    void take(Exchange e) {
        open++;
        held += e.ask.length();
        if (open > mostOpen || held > mostHeld) {
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

    void left(Exchange e) {
        over(e);
        desk.in.left(e);
    }

    /** False when it was over before. */
    boolean over(Exchange e) {
        if (e.over) {
            return false;
        }
        e.over = true;
        open--;
        held -= e.ask.length();
        return true;
    }

    /** Answers that wait for those before them count as well. */
    void held(int bytes) {
        held += bytes;
    }

    void gone(ClientLink link) {
        links.remove(link);
        if (closed != null && links.isEmpty()) {
            closed.run();
        }
    }

    /** Nobody new is let in, and each connection ends once all that came through it is answered. */
    public void close(Runnable then) {
        door.close();
        closed = then;
        for (ClientLink l : new ArrayList<>(links)) {
            l.close(Ending.RETIRED);
        }
        if (links.isEmpty()) {
            then.run();
        }
    }
}
