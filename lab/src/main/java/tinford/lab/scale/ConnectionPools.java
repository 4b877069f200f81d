package tinford.lab.scale;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tinford.api.AttemptOutcome;
import tinford.api.Request;
import tinford.api.Server;

/**
 * The connections that gateways would hold to servers for the dispatches of a model, by the rules
 * of the gateway's own pool ({@code tinford.routing.upstream.ServerPool}): one dispatch at a time
 * on each, the last used that has rested goes first, what has stood idle too long is closed.
 */
final class ConnectionPools implements DecisionListener {
    private static final double REST_MS = 10;
    private static final double IDLE_PART = 0.75;
    private static final double SECOND_MS = 1000;
    private final double idleMs;
    private final Map<Integer, Map<String, ArrayDeque<Double>>> idleSince = new HashMap<>();
    private final Set<Integer> restarted = new HashSet<>();
    private final Map<Request, List<String>> servers = new IdentityHashMap<>();
    private final List<Handshake> handshakes = new ArrayList<>();
    private final List<Double> dispatches = new ArrayList<>();

    /** A connection that was opened. */
    record Handshake(double at, int gateway, String server) {}

    /**
     * @param keepAliveMs after which a server closes an idle connection
     */
    ConnectionPools(double keepAliveMs) {
        idleMs = IDLE_PART * keepAliveMs;
    }

    @Override
    public void started(int gateway, double now) {
        if (idleSince.put(gateway, new HashMap<>()) != null) {
            restarted.add(gateway);
        }
    }

    @Override
    public void dispatched(int gateway, Request request, Server server, double now) {
        servers.computeIfAbsent(request, key -> new ArrayList<>(1)).add(server.id);
        dispatches.add(now);
        if (!reuses(pool(gateway, server.id), now)) {
            handshakes.add(new Handshake(now, gateway, server.id));
        }
    }

    /** The last used connection that has rested is the first of its pool that has. */
    private boolean reuses(ArrayDeque<Double> pool, double now) {
        pool.removeIf(since -> now - since > idleMs);
        for (Double since : pool) {
            if (now - since >= REST_MS) {
                return pool.remove(since);
            }
        }
        return false;
    }

    @Override
    public void dispatchEnded(
            int gateway, Request request, int dispatch, AttemptOutcome end, double now) {
        List<String> attempts = servers.get(request);
        boolean kept =
                end == AttemptOutcome.SUCCESS
                        || end == AttemptOutcome.OVERLOADED
                        || end == AttemptOutcome.ERROR;
        if (kept && attempts != null) {
            pool(gateway, attempts.get(dispatch)).addFirst(now);
        }
        if (attempts != null && attempts.size() == dispatch + 1 && kept) {
            servers.remove(request);
        }
    }

    private ArrayDeque<Double> pool(int gateway, String server) {
        return idleSince.get(gateway).computeIfAbsent(server, key -> new ArrayDeque<>());
    }

    /** How many handshakes there were within a time. */
    long handshakes(double from, double to) {
        return handshakes.stream().filter(h -> h.at >= from && h.at < to).count();
    }

    /** How many of them were of gateways that have been restarted. */
    long handshakesOfRestarted(double from, double to) {
        return handshakes.stream()
                .filter(h -> h.at >= from && h.at < to && restarted.contains(h.gateway))
                .count();
    }

    /** How many dispatches there were within a time. */
    long dispatches(double from, double to) {
        return dispatches.stream().filter(at -> at >= from && at < to).count();
    }

    /** The most handshakes that one server had within one second of a time. */
    long mostAtAServer(double from, double to) {
        Map<String, Long> counts = new HashMap<>();
        for (Handshake h : handshakes) {
            if (h.at >= from && h.at < to) {
                long second = (long) ((h.at - from) / SECOND_MS);
                counts.merge(h.server + "/" + second, 1L, Long::sum);
            }
        }
        return counts.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }
}
