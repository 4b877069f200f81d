package tinford.fleet.run;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * What other threads have for the I/O thread, in the order in which it came, at most so many of
 * each kind. Of soft ones the oldest goes when there is no room: they come again. Hard ones are
 * never dropped: who brings one waits for room.
 */
public final class Mailbox {
    private final int mostSoft;
    private final int mostHard;
    private final Consumer<Runnable> enter;
    private final ArrayDeque<Runnable> soft = new ArrayDeque<>();
    private final ArrayDeque<Runnable> hard = new ArrayDeque<>();
    private boolean called;
    private boolean closed;
    private long dropped;

    /**
     * @param enter runs what it is given on the I/O thread, soon; called once for all that has come
     *     by then
     */
    public Mailbox(int mostSoft, int mostHard, Consumer<Runnable> enter) {
        this.mostSoft = mostSoft;
        this.mostHard = mostHard;
        this.enter = enter;
    }

    public synchronized void soft(Runnable what) {
        if (closed) {
            return;
        }
        if (soft.size() >= mostSoft) {
            soft.poll();
            dropped++;
        }
        soft.add(what);
        call();
    }

    /**
     * @return false when the box was closed before there was room
     */
    public synchronized boolean hard(Runnable what) throws InterruptedException {
        while (hard.size() >= mostHard && !closed) {
            wait();
        }
        if (closed) {
            return false;
        }
        hard.add(what);
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
            all.addAll(hard); // what was agreed goes before what was only heard
            all.addAll(soft);
            hard.clear();
            soft.clear();
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
