package tinford.lab.model;

import java.util.PriorityQueue;

/**
 * What is to happen, in virtual time, in milliseconds. What is due at the same time happens in the
 * order it was set.
 */
public final class EventQueue {
    private final PriorityQueue<Item> items = new PriorityQueue<>();
    private double now;
    private long set;
    private long done;

    private record Item(double at, long no, Runnable what) implements Comparable<Item> {
        @Override
        public int compareTo(Item o) {
            return at != o.at ? Double.compare(at, o.at) : Long.compare(no, o.no);
        }
    }

    public EventQueue(double start) {
        now = start;
    }

    public double now() {
        return now;
    }

    /** How many things have happened. */
    public long done() {
        return done;
    }

    public void after(double ms, Runnable what) {
        items.add(new Item(now + Math.max(0, ms), set++, what));
    }

    /** When the next thing is due, or for ever. */
    public double next() {
        return items.isEmpty() ? Double.POSITIVE_INFINITY : items.peek().at;
    }

    /** Lets all happen that is due by then. */
    public void run(double until) {
        while (!items.isEmpty() && items.peek().at <= until) {
            Item next = items.poll();
            now = next.at;
            done++;
            next.what.run();
        }
        now = Math.max(now, until);
    }
}
