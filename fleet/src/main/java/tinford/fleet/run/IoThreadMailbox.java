package tinford.fleet.run;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Two bounded queues of tasks that other threads have for the I/O thread, each in order of arrival.
 * When the lossy one is full its oldest task is dropped, for it will come again. The lossless one
 * drops nothing: whoever adds to it waits for room.
 */
public final class IoThreadMailbox {
    private final int lossyCapacity;
    private final int losslessCapacity;
    private final Consumer<Runnable> enter;
    private final ArrayDeque<Runnable> lossy = new ArrayDeque<>();
    private final ArrayDeque<Runnable> lossless = new ArrayDeque<>();
    private boolean called;
    private boolean closed;
    private long dropped;

    /**
     * @param enter runs what it is given on the I/O thread, soon; called once for all that has come
     *     by then
     */
    public IoThreadMailbox(int lossyCapacity, int losslessCapacity, Consumer<Runnable> enter) {
        this.lossyCapacity = lossyCapacity;
        this.losslessCapacity = losslessCapacity;
        this.enter = enter;
    }

    /** Adds to the lossy queue; never waits. */
    public synchronized void offer(Runnable what) {
        if (closed) {
            return;
        }
        if (lossy.size() >= lossyCapacity) {
            lossy.poll();
            dropped++;
        }
        lossy.add(what);
        call();
    }

    /**
     * Adds to the lossless queue and waits for room.
     *
     * @return false when the box was closed before there was room
     */
    public synchronized boolean put(Runnable what) throws InterruptedException {
        while (lossless.size() >= losslessCapacity && !closed) {
            wait();
        }
        if (closed) {
            return false;
        }
        lossless.add(what);
        call();
        return true;
    }

    private void call() {
        if (!called) {
            called = true;
            enter.accept(this::drain);
        }
    }

    private void drain() {
        List<Runnable> all = new ArrayList<>();
        synchronized (this) {
            called = false;
            all.addAll(lossless); // what the log agreed on goes before what was only heard
            all.addAll(lossy);
            lossless.clear();
            lossy.clear();
            notifyAll();
        }
        for (Runnable r : all) {
            r.run();
        }
    }

    public synchronized long dropped() {
        return dropped;
    }

    public synchronized void close() {
        closed = true;
        notifyAll();
    }
}
