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
    private final int[] floors;
    private final int[] caps;

    private MaxMinFairness(int[] weights, int[] floors, int[] caps) {
        this.weights = weights;
        this.floors = floors;
        this.caps = caps;
    }

    /**
     * Divides a pool.
     *
     * @param pool connections in total
     * @param weights above 0
     * @param floors minimum shares, which take precedence over weights; each counts up to its cap
     * @param caps the most that each can use: the lower of its limit and its demand
     * @return the connections of each; their sum is the pool, or the sum of the caps if that is
     *     lower
     */
    public static int[] divide(long pool, int[] weights, int[] floors, int[] caps) {
        int size = weights.length;
        int[] effectiveFloors = new int[size];
        int[] effectiveCaps = new int[size];
        long floorSum = 0;
        for (int i = 0; i < size; i++) {
            effectiveCaps[i] = Math.max(0, caps[i]);
            effectiveFloors[i] = Math.min(effectiveCaps[i], Math.max(0, floors[i]));
            floorSum += effectiveFloors[i];
        }
        if (floorSum <= pool) {
            return new MaxMinFairness(weights, effectiveFloors, effectiveCaps).fill(pool);
        }
        return new MaxMinFairness(weights, new int[size], effectiveFloors).fill(Math.max(0, pool));
    }

    /**
     * Allocates to each what it gets at a level, in connections per unit of weight, that the pool
     * certainly allows, and the remaining connections one by one to the lowest ratio.
     */
    private int[] fill(long pool) {
        double maxLevel = 1;
        for (int i = 0; i < weights.length; i++) {
            maxLevel = Math.max(maxLevel, caps[i] / (double) weights[i] + 1);
        }
        if (sumAt(maxLevel) <= pool) {
            return caps.clone();
        }
        double level = highestLevel(pool, maxLevel) * (1 - LEVEL_TOLERANCE);
        int[] given = new int[weights.length];
        long rest = pool;
        for (int i = 0; i < given.length; i++) {
            given[i] = at(level, i);
            rest -= given[i];
        }
        fillByRatio(given, rest);
        return given;
    }

    /** Finds by bisection the highest level at which the total is within the pool. */
    private double highestLevel(long pool, double maxLevel) {
        double low = 0;
        double high = maxLevel;
        for (int step = 0; step < BISECTION_STEPS; step++) {
            double middle = (low + high) / 2;
            if (sumAt(middle) <= pool) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return low;
    }

    private void fillByRatio(int[] given, long rest) {
        PriorityQueue<Integer> lowestFirst =
                new PriorityQueue<>(
                        Math.max(1, given.length), (a, b) -> compareRatios(given, a, b));
        for (int i = 0; i < given.length; i++) {
            if (given[i] < caps[i]) {
                lowestFirst.add(i);
            }
        }
        for (long left = rest; left > 0 && !lowestFirst.isEmpty(); left--) {
            int lowest = lowestFirst.poll();
            given[lowest]++;
            if (given[lowest] < caps[lowest]) {
                lowestFirst.add(lowest);
            }
        }
    }

    /** Compares the ratios of connections to weight, without division. */
    private int compareRatios(int[] given, int a, int b) {
        int order = Long.compare((long) given[a] * weights[b], (long) given[b] * weights[a]);
        return order != 0 ? order : Integer.compare(a, b);
    }

    private long sumAt(double level) {
        long sum = 0;
        for (int i = 0; i < weights.length; i++) {
            sum += at(level, i);
        }
        return sum;
    }

    private int at(double level, int index) {
        double connections = Math.min(caps[index], Math.ceil(level * weights[index]));
        return (int) Math.max(floors[index], connections);
    }
}
