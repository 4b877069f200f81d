package tinford.fleet.run;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Two bounded FIFO queues of tasks that other threads post to the I/O thread. A task posted to the
 * full lossy queue replaces the oldest one, so that queue is for messages that are repeated. The
 * lossless queue drops nothing: a thread that posts to it blocks while it is full.
 */
public final class IoThreadMailbox {
    private final int lossyCapacity;
    private final int losslessCapacity;
    private final Consumer<Runnable> ioThread;
    private final ArrayDeque<Runnable> lossy = new ArrayDeque<>();
    private final ArrayDeque<Runnable> lossless = new ArrayDeque<>();
    private boolean drainScheduled;
    private boolean closed;
    private long dropped;

    /**
     * @param ioThread runs a task on the I/O thread, soon; called once for all tasks posted by then
     */
    public IoThreadMailbox(int lossyCapacity, int losslessCapacity, Consumer<Runnable> ioThread) {
        this.lossyCapacity = lossyCapacity;
        this.losslessCapacity = losslessCapacity;
        this.ioThread = ioThread;
    }

    /** Posts to the lossy queue; never blocks. */
    public synchronized void offer(Runnable task) {
        if (closed) {
            return;
        }
        if (lossy.size() >= lossyCapacity) {
            lossy.poll();
            dropped++;
        }
        lossy.add(task);
        scheduleDrain();
    }

    /**
     * Posts to the lossless queue; blocks while it is full.
     *
     * @return false when the mailbox was closed before there was room
     */
    public synchronized boolean put(Runnable task) throws InterruptedException {
        while (lossless.size() >= losslessCapacity && !closed) {
            wait();
        }
        if (closed) {
            return false;
        }
        lossless.add(task);
        scheduleDrain();
        return true;
    }

    private void scheduleDrain() {
        if (!drainScheduled) {
            drainScheduled = true;
            ioThread.accept(this::drain);
        }
    }

    /** Entries of the log run before gossip. */
    private void drain() {
        List<Runnable> tasks = new ArrayList<>();
        synchronized (this) {
            drainScheduled = false;
            tasks.addAll(lossless);
            tasks.addAll(lossy);
            lossless.clear();
            lossy.clear();
            notifyAll();
        }
        for (Runnable task : tasks) {
            task.run();
        }
    }

    /** Tasks dropped from the lossy queue so far. */
    public synchronized long dropped() {
        return dropped;
    }

    /** Accepts nothing more, and releases the threads that wait for room. */
    public synchronized void close() {
        closed = true;
        notifyAll();
    }
}
