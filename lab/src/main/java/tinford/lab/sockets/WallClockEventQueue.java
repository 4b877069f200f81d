package tinford.lab.sockets;

import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import tinford.lab.model.EventQueue;

/**
 * An agenda that keeps to the wall clock, on a thread of its own; all that the stand-ins know
 * belongs to that thread.
 */
final class WallClockEventQueue implements AutoCloseable {
    private final EventQueue events = new EventQueue(System.currentTimeMillis());
    private final long from = System.nanoTime();
    private final double began = events.now();
    private final ArrayDeque<Runnable> posted = new ArrayDeque<>();
    private final Thread thread = new Thread(this::run, "stand-ins");
    private static final int MAX_FAULTS = 20;
    private final List<String> faults = new CopyOnWriteArrayList<>();
    private boolean closed;

    WallClockEventQueue() {
        thread.setDaemon(true);
        thread.start();
    }

    EventQueue agenda() {
        return events;
    }

    double now() {
        return began + (System.nanoTime() - from) / 1e6;
    }

    /** From any thread: done on the thread of the agenda, now. */
    synchronized void post(Runnable what) {
        posted.add(what);
        notifyAll();
    }

    private void run() {
        while (true) {
            guarded(() -> events.run(now()));
            Runnable next;
            synchronized (this) {
                if (closed) {
                    return;
                }
                next = posted.poll();
                double wait = events.next() - now();
                if (next == null && wait > 0) {
                    try {
                        wait((long) Math.max(1, Math.min(1000, wait)));
                    } catch (InterruptedException e) {
                        return;
                    }
                    continue;
                }
            }
            if (next != null) {
                guarded(() -> events.run(now())); // guards its times: they count from now, however
                // long ago the agenda was looked at
                guarded(next);
            }
        }
    }

    /**
     * Guards a run against a stand-in's fault, which would leave it waiting for good; it is told at
     * the end.
     */
    private void guarded(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException e) {
            if (faults.size() < MAX_FAULTS) {
                faults.add("a stand-in failed: " + e + " at " + e.getStackTrace()[0]);
            }
        }
    }

    List<String> faults() {
        return faults;
    }

    @Override
    public synchronized void close() {
        closed = true;
        notifyAll();
    }
}
