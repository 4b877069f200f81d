package tinford.simulator;

import java.util.PriorityQueue;

/** The simulated clock of a recording, and the actions that are due at its times. */
final class ScriptedTimeline {
    /** Length of a step, and the minimum network delay of messages from a gateway. */
    static final long TICK_US = 2_000;

    private static final long START_US = 5_000_000;
    private static final double US_PER_S = 1e6;

    private record DueAction(long atUs, long order, Runnable action)
            implements Comparable<DueAction> {
        @Override
        public int compareTo(DueAction other) {
            int byTime = Long.compare(atUs, other.atUs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<DueAction> queue = new PriorityQueue<>();
    private long nowUs = START_US;
    private long nextOrder;

    long nowUs() {
        return nowUs;
    }

    /** Seconds since the start. */
    double elapsedS() {
        return (nowUs - START_US) / US_PER_S;
    }

    /** Returns whether this number of seconds has passed since the start. */
    boolean hasPassed(double durationS) {
        return nowUs >= START_US + (long) (durationS * US_PER_S);
    }

    void advance() {
        nowUs += TICK_US;
    }

    /**
     * Runs an action at the first step after the delay; actions due at the same time keep order.
     */
    void schedule(long delayUs, Runnable action) {
        queue.add(new DueAction(nowUs + Math.max(0, delayUs), nextOrder++, action));
    }

    void runDueActions() {
        while (!queue.isEmpty() && queue.peek().atUs() <= nowUs) {
            queue.poll().action().run();
        }
    }
}
