package tinford.fleet.budget;

import java.util.PriorityQueue;

/**
 * Weighted max-min fairness over whole connections: the lowest ratio of connections to weight is as
 * high as possible, then the next lowest, and so on. Each one has its floor first, divided likewise
 * where the floors exceed the pool, and none has more than its cap. Among equals the earlier one
 * gets the odd connection. Takes n log n.
 */
public final class MaxMinFairness {
    private static final int BISECTION_STEPS = 60;

    /** Keeps the level below the exact one despite rounding. */
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
     * @param floors that come before weights; each counts up to its cap
     * @param caps the most that each can use, its demand included
     * @return for each its connections; in total the pool, or the caps where their sum is lower
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
     * Gives each what it has at a level of connections a weight that the pool surely allows, and
     * the rest one by one to the lowest ratio.
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

    /** The highest level whose sum is within the pool, by bisection. */
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

    /** Compares connections over weight without division. */
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
