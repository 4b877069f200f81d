package tinford.fleet.follow;

import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;

/**
 * Runs tasks one after another, in the order of their submission, on an executor that may have
 * several threads. The queue is not bounded: its users bound what they submit.
 */
final class SerialExecutor implements Executor {
    private static final System.Logger LOG = System.getLogger("tinford.fleet.configuration");

    private final Executor executor;
    private final Queue<Runnable> waiting = new ArrayDeque<>();
    private boolean running;

    SerialExecutor(Executor executor) {
        this.executor = executor;
    }

    @Override
    public synchronized void execute(Runnable task) {
        waiting.add(task);
        if (!running) {
            running = true;
            executor.execute(this::runNext);
        }
    }

    private void runNext() {
        Runnable task;
        synchronized (this) {
            task = waiting.remove();
        }
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "configuration client task failed", e);
        } finally {
            scheduleNext();
        }
    }

    private synchronized void scheduleNext() {
        running = !waiting.isEmpty();
        if (running) {
            executor.execute(this::runNext);
        }
    }
}
