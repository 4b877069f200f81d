package tinford.lab.model;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The operators' bound on cold servers: one falls when it gets more than N + 2 sqrt(N) + 2 requests
 * of mean work within the fall time, from all processes together, N being what the settings allow
 * it then. It keeps how near the run came. It holds the arrivals of one fall time for each server
 * that is cold.
 */
final class SlowStartBudget {
    private static final double BLAMED =
            2.0 / 3; // of the requests that come from gateways told of the start: beyond, it is
    // their fall
    private static final Approach NONE =
            new Approach(Double.NaN, 0, 0, Double.POSITIVE_INFINITY, 0);
    private final double multiple;
    private final double time;
    private final double meanWork;
    private final Map<ServerMachine, Window> windows = new HashMap<>();
    private Approach nearest = NONE;
    private Approach nearestBlamed = NONE;
    private long falls;
    private double came;

    /** What came to one server since its start, no longer ago than the fall time. */
    private static final class Window {
        final double born;
        final ArrayDeque<Came> came = new ArrayDeque<>();
        int told;

        Window(double born) {
            this.born = born;
        }
    }

    private record Came(double at, double work, boolean told) {}

    /**
     * What an arrival comes to.
     *
     * @param of what may come, more than 1 is a fall; {@code told} the share of the requests from
     *     gateways that knew of the start
     */
    record Approach(double at, double of, double requests, double most, double told) {
        boolean falls() {
            return of > 1;
        }

        boolean broken() {
            return falls() && told > BLAMED;
        }
    }

    SlowStartBudget(double multiple, double time, double meanWork) {
        this.multiple = multiple;
        this.time = time;
        this.meanWork = meanWork;
    }

    /**
     * Requests of mean work that a server falls beyond, where {@code allowed} is what the settings
     * allow.
     */
    static double most(double allowed) {
        return allowed + 2 * Math.sqrt(allowed) + 2;
    }

    /**
     * @param told whether the gateway that sent it knew of the server's start when it did
     */
    Approach arrives(ServerMachine m, double work, double now, boolean told) {
        if (!m.cold()) {
            windows.remove(m);
            return NONE;
        }
        Window w = windows.get(m);
        if (w == null || w.born != m.born) {
            w = new Window(m.born);
            windows.put(m, w);
        }
        w.came.add(new Came(now, work, told));
        w.told += told ? 1 : 0;
        came += work / meanWork;
        while (now - w.came.peek().at > time) {
            w.told -= w.came.poll().told ? 1 : 0;
        }
        double requests = w.came.stream().mapToDouble(Came::work).sum() / meanWork;
        double most = most(multiple * m.capacity() * time / meanWork);
        Approach a =
                new Approach(now, requests / most, requests, most, (double) w.told / w.came.size());
        if (a.of > nearest.of) {
            nearest = a;
        }
        if (a.told > BLAMED && a.of > nearestBlamed.of) {
            nearestBlamed = a;
        }
        if (a.falls()) {
            falls++;
            windows.remove(m);
        }
        return a;
    }

    /** The greatest part of the bound that any cold server got; before there was one, nought. */
    Approach nearest() {
        return nearest;
    }

    /**
     * The same over those arrivals alone of which over two thirds came from gateways told of the
     * start.
     */
    Approach nearestBlamed() {
        return nearestBlamed;
    }

    long falls() {
        return falls;
    }

    /** Requests of mean work that came to cold servers in all. */
    double came() {
        return came;
    }
}
