package tinford.fleet.budget;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The static part of each server's capacity, which is never granted: each gateway may use a fixed
 * share of it without a lease, by settings that are the same on all gateways. The shares are even;
 * the remaining connections go to the gateways that come first in an order that differs by server
 * (a hash of server and gateway), so that the sum is exact. Keeps one array for each server.
 */
public final class StaticShares {
    private static final int MAX_SERVERS = BudgetLedger.MAX_SERVERS;

    /** Keeps a product that is a whole number but for rounding errors from being rounded down. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final Map<String, int[]> sharesByServer = new LinkedHashMap<>();
    private final Map<String, Integer> totalsByServer = new LinkedHashMap<>();
    private final int defaultCapacity;
    private final double staticPart;
    private final int gateways;

    /**
     * @param capacities by server, from the settings
     * @param staticPart share of each capacity that is static, from 0 to 1
     */
    public StaticShares(Map<String, Integer> capacities, double staticPart, int gateways) {
        this(capacities, 0, staticPart, gateways);
    }

    /**
     * @param defaultCapacity of each server that {@code capacities} does not contain
     */
    public StaticShares(
            Map<String, Integer> capacities, int defaultCapacity, double staticPart, int gateways) {
        this.defaultCapacity = defaultCapacity;
        this.staticPart = staticPart;
        this.gateways = gateways;
        capacities.forEach(this::divide);
    }

    private int[] divide(String server, int capacity) {
        double part = Math.max(0, Math.min(1, staticPart));
        int total = (int) Math.floor(Math.max(0, capacity) * part + ROUNDING_TOLERANCE);
        int[] shares = new int[gateways];
        Arrays.fill(shares, total / gateways);
        List<Integer> order = gatewayOrder(server);
        for (int i = 0; i < total % gateways; i++) {
            shares[order.get(i)]++;
        }
        if (sharesByServer.size() < MAX_SERVERS) {
            sharesByServer.put(server, shares);
            totalsByServer.put(server, total);
        }
        return shares;
    }

    private List<Integer> gatewayOrder(String server) {
        List<Integer> order = new ArrayList<>();
        for (int gateway = 0; gateway < gateways; gateway++) {
            order.add(gateway);
        }
        order.sort(
                Comparator.<Integer>comparingLong(gateway -> hash(server, gateway))
                        .thenComparing(Comparator.naturalOrder()));
        return order;
    }

    /** The static share of a gateway at a server; 0 for a gateway that is not of the fleet. */
    public int of(String server, int gateway) {
        int[] shares = sharesByServer.get(server);
        if (shares == null) {
            shares = divide(server, defaultCapacity);
        }
        return gateway < 0 || gateway >= gateways ? 0 : shares[gateway];
    }

    /** The sum of the static shares of all gateways at a server. */
    public int total(String server) {
        Integer total = totalsByServer.get(server);
        return total != null ? total : Arrays.stream(divide(server, defaultCapacity)).sum();
    }

    private static long hash(String server, int gateway) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < server.length(); i++) {
            hash = (hash ^ server.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash + gateway) * 0x9e3779b97f4a7c15L;
        hash = (hash ^ hash >>> 30) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ hash >>> 27) * 0x94d049bb133111ebL;
        return hash ^ hash >>> 31;
    }
}
