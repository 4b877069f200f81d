package tinford.fleet.budget;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The part of each server's offer that is never granted and belongs to gateways for good, by
 * settings that all of them share: what a gateway holds without asking anyone. Even floors; the
 * spare ones go to those first in the server's own order of gateways (a hash of server and
 * gateway), so each is somebody's and the sum is exact. Holds one array of gateways a server.
 */
public final class StaticShares {
    private static final int MOST_UNNAMED = BudgetLedger.MAX_SERVERS;
    private final Map<String, int[]> by = new LinkedHashMap<>();
    private final Map<String, Integer> sums = new LinkedHashMap<>();
    private final int unnamed;
    private final double part;
    private final int gateways;

    /**
     * @param offers by server, from the settings
     * @param part of an offer that is static, 0 to 1
     */
    public StaticShares(Map<String, Integer> offers, double part, int gateways) {
        this(offers, 0, part, gateways);
    }

    /**
     * @param unnamed what each server offers that the settings do not name
     */
    public StaticShares(Map<String, Integer> offers, int unnamed, double part, int gateways) {
        this.unnamed = unnamed;
        this.part = part;
        this.gateways = gateways;
        offers.forEach(this::divide);
    }

    private int[] divide(String server, int offer) {
        int sum = (int) Math.floor(Math.max(0, offer) * Math.max(0, Math.min(1, part)) + 1e-9);
        int[] each = new int[gateways];
        List<Integer> order = new ArrayList<>();
        for (int g = 0; g < gateways; g++) {
            each[g] = sum / gateways;
            order.add(g);
        }
        order.sort(Comparator.<Integer>comparingLong(g -> hash(server, g)).thenComparing(g -> g));
        for (int i = 0; i < sum % gateways; i++) {
            each[order.get(i)]++;
        }
        if (by.size() < MOST_UNNAMED) {
            by.put(server, each);
            sums.put(server, sum);
        }
        return each;
    }

    /** A server that the settings do not name has what each such one offers. */
    public int of(String server, int gateway) {
        int[] each = by.get(server);
        each = each == null ? divide(server, unnamed) : each;
        return gateway < 0 || gateway >= gateways ? 0 : each[gateway];
    }

    /** All gateways' together. */
    public int sum(String server) {
        Integer sum = sums.get(server);
        return sum != null ? sum : java.util.Arrays.stream(divide(server, unnamed)).sum();
    }

    private static long hash(String server, int gateway) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < server.length(); i++) {
            h = (h ^ server.charAt(i)) * 0x100000001b3L;
        }
        h = (h + gateway) * 0x9e3779b97f4a7c15L;
        h = (h ^ h >>> 30) * 0xbf58476d1ce4e5b9L;
        h = (h ^ h >>> 27) * 0x94d049bb133111ebL;
        return h ^ h >>> 31;
    }
}
