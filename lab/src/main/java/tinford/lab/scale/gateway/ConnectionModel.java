package tinford.lab.scale.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import tinford.api.Server;

/**
 * The connections that {@link tinford.routing.upstream.ServerPool} would hold: one dispatch at a
 * time on each, the last used that has rested goes first, and what stands idle too long is closed.
 */
public final class ConnectionModel implements DrivenGateway.DispatchListener {
    private static final double REST_MS = 10;
    private static final double IDLE_PART = 0.75;

    private final double closedAfter;
    private final Map<Server, Deque<Double>> idleSince = new HashMap<>();
    private final Map<Server, Integer> requests = new HashMap<>();
    private long opened;
    private long dispatched;
    private long inUse;

    /**
     * @param idleMost milliseconds after which a server closes an idle connection
     */
    public ConnectionModel(double idleMost) {
        this.closedAfter = IDLE_PART * idleMost;
    }

    @Override
    public void dispatched(Server server, double now) {
        dispatched++;
        inUse++;
        requests.merge(server, 1, Integer::sum);
        if (!takeRested(idle(server), now)) {
            opened++;
        }
    }

    @Override
    public void answered(Server server, double now) {
        inUse--;
        idle(server).addFirst(now);
    }

    private Deque<Double> idle(Server server) {
        return idleSince.computeIfAbsent(server, key -> new ArrayDeque<>());
    }

    private boolean takeRested(Deque<Double> idle, double now) {
        closeOld(idle, now);
        for (Iterator<Double> each = idle.iterator(); each.hasNext(); ) {
            if (now - each.next() >= REST_MS) {
                each.remove();
                return true;
            }
        }
        return false;
    }

    private void closeOld(Deque<Double> idle, double now) {
        while (!idle.isEmpty() && now - idle.peekLast() > closedAfter) {
            idle.pollLast();
        }
    }

    /** Forgets what was counted; connections stay. */
    public void restartCounts() {
        requests.clear();
        opened = 0;
        dispatched = 0;
    }

    /** Connections that are open at this time, in use or idle. */
    public long open(double now) {
        idleSince.values().forEach(idle -> closeOld(idle, now));
        return inUse + idleSince.values().stream().mapToLong(Deque::size).sum();
    }

    /** Servers that were sent a request since the counts began. */
    public int serversMet() {
        return requests.size();
    }

    public long dispatched() {
        return dispatched;
    }

    /** The most requests that one server was sent. */
    public int mostRequests() {
        return requests.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    /** Of the requests, the part that had to wait for a new connection. */
    public double newConnectionShare() {
        return (double) opened / dispatched;
    }
}
