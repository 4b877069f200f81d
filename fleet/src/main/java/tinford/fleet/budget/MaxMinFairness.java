package tinford.fleet.budget;

import java.util.PriorityQueue;

/**
 * Whole connections divided so that the least served, by connections over weight, is served as well
 * as can be; then the next least, and so on. Each has its floor first (floors too are divided so
 * where they don't fit) and none more than its cap. Among equals the earlier one gets the odd
 * connection. Takes n log n.
 */
public final class MaxMinFairness {
    private MaxMinFairness() {}

    /**
     * @param pool connections in all
     * @param weight above 0
     * @param floor what comes before weights; counts up to the cap
     * @param cap most that one can use, its demand included
     * @return for each its connections; in all the pool, or the caps where they sum to less
     */
    public static int[] divide(long pool, int[] weight, int[] floor, int[] cap) {
        int n = weight.length;
        int[] least = new int[n];
        int[] most = new int[n];
        long floors = 0;
        for (int i = 0; i < n; i++) {
            most[i] = Math.max(0, cap[i]);
            least[i] = Math.min(most[i], Math.max(0, floor[i]));
            floors += least[i];
        }
        return floors <= pool
                ? fill(pool, weight, least, most)
                : fill(Math.max(0, pool), weight, new int[n], least);
    }

    /**
     * The next connection goes to who has least over its weight; what all get up to a level below
     * the last one is given at once.
     */
    private static int[] fill(long pool, int[] weight, int[] least, int[] most) {
        int n = weight.length;
        double high = 1;
        for (int i = 0; i < n; i++) {
            high = Math.max(high, most[i] / (double) weight[i] + 1);
        }
        double low = 0;
        if (sum(high, weight, least, most) <= pool) {
            return most.clone();
        }
        for (int i = 0; i < 60; i++) {
            double middle = (low + high) / 2;
            if (sum(middle, weight, least, most) <= pool) {
                low = middle;
            } else {
                high = middle;
            }
        }
        int[] given = new int[n];
        // Guards against the rounding of the level: a little below it, everyone's part is sure.
        low *= 1 - 1e-9;
        long rest = pool;
        PriorityQueue<Integer> next =
                new PriorityQueue<>(
                        Math.max(1, n),
                        (a, b) -> {
                            int c =
                                    Long.compare(
                                            (long) given[a] * weight[b],
                                            (long) given[b] * weight[a]);
                            return c != 0 ? c : Integer.compare(a, b);
                        });
        for (int i = 0; i < n; i++) {
            given[i] = at(low, weight[i], least[i], most[i]);
            rest -= given[i];
        }
        for (int i = 0; i < n; i++) {
            if (given[i] < most[i]) {
                next.add(i);
            }
        }
        for (; rest > 0 && !next.isEmpty(); rest--) {
            int i = next.poll();
            given[i]++;
            if (given[i] < most[i]) {
                next.add(i);
            }
        }
        return given;
    }

    private static long sum(double level, int[] weight, int[] least, int[] most) {
        long sum = 0;
        for (int i = 0; i < weight.length; i++) {
            sum += at(level, weight[i], least[i], most[i]);
        }
        return sum;
    }

    private static int at(double level, int weight, int least, int most) {
        return (int) Math.max(least, Math.min(most, Math.ceil(level * weight)));
    }
}
