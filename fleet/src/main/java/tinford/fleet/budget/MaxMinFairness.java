package tinford.fleet.budget;

import java.util.PriorityQueue;

/**
 * Weighted max-min fairness over whole connections: the lowest ratio of connections to weight is as
 * high as possible, then the next lowest, and so on. Each participant gets its minimum share first;
 * if the minimum shares exceed the pool, the pool is divided by weight up to these. None gets more
 * than its cap. Among equal ratios the earlier participant gets the remaining connection. Takes O(n
 * log n) time.
 */
public final class MaxMinFairness {
    private static final int BISECTION_STEPS = 60;

    /** Keeps the computed level below the exact one despite rounding errors. */
    private static final double LEVEL_TOLERANCE = 1e-9;

    private final int[] weights;
    private final int[] minimumShares;
    private final int[] caps;

    private MaxMinFairness(int[] weights, int[] minimumShares, int[] caps) {
        this.weights = weights;
        this.minimumShares = minimumShares;
        this.caps = caps;
    }

    /**
     * Divides a pool.
     *
     * @param pool connections in total
     * @param weights above 0
     * @param minimumShares minimum shares, which take precedence over weights; each counts up to
     *     its cap
     * @param caps the most that each can use: the lower of its limit and its demand
     * @return the connections of each; their sum is the pool, or the sum of the caps if that is
     *     lower
     */
    public static int[] divide(long pool, int[] weights, int[] minimumShares, int[] caps) {
        int size = weights.length;
        int[] effectiveMinimumShares = new int[size];
        int[] effectiveCaps = new int[size];
        long minimumShareSum = 0;
        for (int i = 0; i < size; i++) {
            effectiveCaps[i] = Math.max(0, caps[i]);
            effectiveMinimumShares[i] = Math.min(effectiveCaps[i], Math.max(0, minimumShares[i]));
            minimumShareSum += effectiveMinimumShares[i];
        }
        if (minimumShareSum <= pool) {
            return new MaxMinFairness(weights, effectiveMinimumShares, effectiveCaps)
                    .allocate(pool);
        }
        return new MaxMinFairness(weights, new int[size], effectiveMinimumShares)
                .allocate(Math.max(0, pool));
    }

    /**
     * Allocates to each what it gets at a level, in connections per unit of weight, that the pool
     * certainly allows, and the remaining connections one by one to the lowest ratio.
     */
    private int[] allocate(long pool) {
        double maxLevel = 1;
        for (int i = 0; i < weights.length; i++) {
            maxLevel = Math.max(maxLevel, caps[i] / (double) weights[i] + 1);
        }
        if (totalAt(maxLevel) <= pool) {
            return caps.clone();
        }
        double level = highestLevel(pool, maxLevel) * (1 - LEVEL_TOLERANCE);
        int[] allocated = new int[weights.length];
        long remaining = pool;
        for (int i = 0; i < allocated.length; i++) {
            allocated[i] = allocationAt(level, i);
            remaining -= allocated[i];
        }
        allocateByRatio(allocated, remaining);
        return allocated;
    }

    /** Finds by bisection the highest level at which the total is within the pool. */
    private double highestLevel(long pool, double maxLevel) {
        double low = 0;
        double high = maxLevel;
        for (int step = 0; step < BISECTION_STEPS; step++) {
            double middle = (low + high) / 2;
            if (totalAt(middle) <= pool) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return low;
    }

    private void allocateByRatio(int[] allocated, long connections) {
        PriorityQueue<Integer> lowestFirst =
                new PriorityQueue<>(
                        Math.max(1, allocated.length), (a, b) -> compareRatios(allocated, a, b));
        for (int i = 0; i < allocated.length; i++) {
            if (allocated[i] < caps[i]) {
                lowestFirst.add(i);
            }
        }
        for (long remaining = connections; remaining > 0 && !lowestFirst.isEmpty(); remaining--) {
            int lowest = lowestFirst.poll();
            allocated[lowest]++;
            if (allocated[lowest] < caps[lowest]) {
                lowestFirst.add(lowest);
            }
        }
    }

    /** Compares the ratios of connections to weight, without division. */
    private int compareRatios(int[] allocated, int a, int b) {
        int order =
                Long.compare((long) allocated[a] * weights[b], (long) allocated[b] * weights[a]);
        return order != 0 ? order : Integer.compare(a, b);
    }

    private long totalAt(double level) {
        long sum = 0;
        for (int i = 0; i < weights.length; i++) {
            sum += allocationAt(level, i);
        }
        return sum;
    }

    private int allocationAt(double level, int index) {
        double connections = Math.min(caps[index], Math.ceil(level * weights[index]));
        return (int) Math.max(minimumShares[index], connections);
    }
}
