package tinford.fleet.budgets;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The part of each server's offer that is never granted and belongs to gateways for good, by settings that all of them share:
 * what a gateway holds without asking anyone. Even floors; the spare ones go to those first in the server's own order of gateways
 * (a hash of server and gateway), so each is somebody's and the sum is exact. Holds one array of gateways a server.
 */
public final class Statics {
    private final Map<String, int[]> by = new LinkedHashMap<>();
    private final Map<String, Integer> sums = new LinkedHashMap<>();
    private final int gateways;

    /**
     * @param offers by server, from the settings
     * @param part of an offer that is static, 0 to 1
     */
    public Statics(Map<String, Integer> offers, double part, int gateways) {
        this.gateways = gateways;
        for (Map.Entry<String, Integer> e : offers.entrySet()) {
            int sum = (int) Math.floor(Math.max(0, e.getValue()) * Math.max(0, Math.min(1, part)) + 1e-9);
            int[] each = new int[gateways];
            List<Integer> order = new ArrayList<>();
            for (int g = 0; g < gateways; g++) {
                each[g] = sum / gateways;
                order.add(g);
            }
            order.sort(Comparator.<Integer>comparingLong(g -> hash(e.getKey(), g)).thenComparing(g -> g));
            for (int i = 0; i < sum % gateways; i++) {
                each[order.get(i)]++;
            }
            by.put(e.getKey(), each);
            sums.put(e.getKey(), sum);
        }
    }

    /** 0 for a server that the settings do not name. */
    public int of(String server, int gateway) {
        int[] each = by.get(server);
        return each == null || gateway < 0 || gateway >= gateways ? 0 : each[gateway];
    }

    /** All gateways' together. */
    public int sum(String server) {
        return sums.getOrDefault(server, 0);
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
