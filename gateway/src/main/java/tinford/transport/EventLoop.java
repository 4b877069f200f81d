package tinford.transport;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * The event loop of the I/O thread. Socket events are first only queued as tasks; then one batch
 * runs the tasks in the order of their arrival, and the connections with unwritten bytes are
 * flushed after the batch.
 */
public final class EventLoop {
    private static final double NANOS_PER_MS = 1e6;

    /** About 30 years; longer delays from settings would overflow the clock. */
    private static final double MAX_DELAY_MS = 1e12;

    private static final long IO_THREAD_STACK_BYTES = 256L << 10;
    private static final long NO_WAKEUP = Long.MAX_VALUE;

    /** A task for the I/O thread, run once within a batch. */
    public interface Task {
        void run();

        /** Called when {@link #run} has thrown, to clean up what the task worked on. */
        default void abort() {}
    }

    /** Runs one batch, by calling {@link #runDueTasks}. */
    public interface BatchHandler {
        void run();
    }

    final XnioWorker worker;
    final XnioIoThread ioThread;
    final MemoryBudget memoryBudget;
    final DescriptorBudget descriptorBudget;
    private final BatchHandler batchHandler;
    private final Runnable batch = this::runBatch;
    private final TaskIsolation taskIsolation = new TaskIsolation();
    private final LongSupplier nanoClock;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final List<Task> submittedTasks = new ArrayList<>();
    private final List<Task> runningTasks = new ArrayList<>();
    private final List<Connection> unflushedConnections = new ArrayList<>();
    private XnioExecutor.Key wakeupKey;
    private long wakeupNanos = NO_WAKEUP;
    private boolean isBatchScheduled;
    private boolean isClosed;
    private volatile Thread.UncaughtExceptionHandler threadFailureHandler;

    /** A scheduled task. */
    public static final class Timer implements Comparable<Timer> {
        private final long dueNanos;

        /** Null once cancelled. */
        private Task task;

        private Timer(long dueNanos, Task task) {
            this.dueNanos = dueNanos;
            this.task = task;
        }

        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Timer other) {
            return Long.compare(dueNanos, other.dueNanos);
        }
    }

    /**
     * @param descriptors how many connections may be open to all kinds of peers except admins
     * @param memoryBytes how many bytes of the heap all connections may use together
     * @param nanoClock the clock of the timers; a caller that advances it manually has to wake the
     *     loop up with {@link #execute}
     */
    public EventLoop(
            BatchHandler batchHandler, int descriptors, long memoryBytes, LongSupplier nanoClock)
            throws IOException {
        this.batchHandler = batchHandler;
        this.nanoClock = nanoClock;
        this.descriptorBudget = new DescriptorBudget(descriptors);
        int clients = descriptorBudget.limit(DescriptorBudget.PeerKind.CLIENTS);
        this.memoryBudget = new MemoryBudget(memoryBytes, clients);
        memoryBudget.setServeLater(() -> submit(memoryBudget::serveWaiters));
        worker = Xnio.getInstance("nio").createWorker(workerOptions());
        ioThread = worker.getIoThread();
    }

    private static OptionMap workerOptions() {
        return OptionMap.builder()
                .set(Options.WORKER_NAME, "gateway")
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 0)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.STACK_SIZE, IO_THREAD_STACK_BYTES)
                .getMap();
    }

    /**
     * Sets the handler that is called when a thread of this event loop terminates with an uncaught
     * exception or can't continue, so that nothing is served any more. To be called before any
     * connection is open.
     */
    public void setThreadFailureHandler(Thread.UncaughtExceptionHandler handler) {
        threadFailureHandler = handler;
        ioThread.setUncaughtExceptionHandler(handler);
    }

    /** The handler, or null if none is set. */
    Thread.UncaughtExceptionHandler threadFailureHandler() {
        return threadFailureHandler;
    }

    /** Submits the task to the I/O thread; may be called from any thread. */
    public void execute(Task task) {
        ioThread.execute(() -> submit(task));
    }

    /** Runs the task in the next batch; called on the I/O thread. */
    public void submit(Task task) {
        submittedTasks.add(task);
        scheduleBatch();
    }

    /** Runs the task in the first batch after the delay; called on the I/O thread. */
    public Timer schedule(double delayMs, Task task) {
        double boundedMs = Math.min(MAX_DELAY_MS, Math.max(0, delayMs));
        Timer timer = new Timer(nanoClock.getAsLong() + (long) (boundedMs * NANOS_PER_MS), task);
        timers.add(timer);
        scheduleBatch(); // the wake-up is only set at the end of a batch
        return timer;
    }

    /** Runs the due timers and then the submitted tasks, each once. */
    public void runDueTasks() {
        takeDueTimers();
        runningTasks.addAll(submittedTasks);
        submittedTasks.clear();
        for (int i = 0; i < runningTasks.size(); i++) {
            taskIsolation.run(runningTasks.get(i));
        }
        runningTasks.clear();
    }

    private void takeDueTimers() {
        long now = nanoClock.getAsLong();
        while (!timers.isEmpty() && (timers.peek().task == null || timers.peek().dueNanos <= now)) {
            Task task = timers.poll().task;
            if (task != null) {
                runningTasks.add(task);
            }
        }
    }

    /** Logs a failure whose consequences the caller handles; called within a batch. */
    public void logFailure(Throwable failure) {
        taskIsolation.logAndRestore(TaskIsolation.TASK_FAILED, failure);
    }

    /** Closes, in the next batch, a connection whose event could not be handled. */
    void closeFailed(Connection connection, Throwable failure) {
        try {
            taskIsolation.closeFailed(connection, failure);
            scheduleBatch();
        } catch (RuntimeException | Error e) {
            reportThreadFailure(e);
            throw e;
        }
    }

    private void reportThreadFailure(Throwable failure) {
        if (threadFailureHandler != null) {
            threadFailureHandler.uncaughtException(ioThread, failure);
        }
    }

    /** Stops the I/O thread, after which no task runs; may be called from any thread. */
    public void close() {
        ioThread.execute(
                () -> {
                    isClosed = true;
                    worker.shutdownNow();
                });
    }

    /**
     * As {@link #close}, and waits until the threads have ended or the timeout has passed. The exit
     * of the JVM takes 0.3 s longer while a thread still waits in the operating system.
     */
    public void closeAndAwait(double timeoutMs) {
        close();
        try {
            worker.awaitTermination((long) timeoutMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public MemoryBudget memoryBudget() {
        return memoryBudget;
    }

    public DescriptorBudget descriptorBudget() {
        return descriptorBudget;
    }

    void flushAfterBatch(Connection connection) {
        unflushedConnections.add(connection);
        scheduleBatch();
    }

    private void scheduleBatch() {
        if (isBatchScheduled || isClosed) {
            return;
        }
        // Set before the call: during start-up this method is called from another thread.
        isBatchScheduled = true;
        try {
            ioThread.execute(batch);
        } catch (RuntimeException | Error e) {
            isBatchScheduled = false;
            throw e;
        }
    }

    private void runBatch() {
        if (isClosed) {
            return;
        }
        try {
            batchHandler.run();
        } catch (RuntimeException | Error e) {
            taskIsolation.logAndRestore(TaskIsolation.BATCH_FAILED, e);
        }
        flushAll();
        scheduleNext();
    }

    private void flushAll() {
        for (int i = 0; i < unflushedConnections.size(); i++) {
            Connection connection = unflushedConnections.get(i);
            try {
                connection.flush();
            } catch (RuntimeException | Error e) {
                taskIsolation.closeFailed(connection, e);
            }
        }
        unflushedConnections.clear();
    }

    /**
     * Schedules the next batch or wake-up; without either the thread would stay asleep with work
     * pending.
     */
    private void scheduleNext() {
        try {
            isBatchScheduled = false;
            if (!submittedTasks.isEmpty()) {
                scheduleBatch();
            }
            scheduleWakeup();
        } catch (RuntimeException | Error e) {
            reportThreadFailure(e);
            throw e;
        }
    }

    /** Wakes the thread up for the next timer; avoids needless wake-ups, as they cost time. */
    private void scheduleWakeup() {
        while (!timers.isEmpty() && timers.peek().task == null) {
            timers.poll();
        }
        long nextNanos = timers.isEmpty() ? NO_WAKEUP : timers.peek().dueNanos;
        if (wakeupNanos == nextNanos) {
            return;
        }
        if (wakeupKey != null) {
            wakeupKey.remove();
            wakeupKey = null;
        }
        wakeupNanos = nextNanos;
        if (!timers.isEmpty()) {
            wakeupKey = ioThread.executeAfter(this::onWakeup, delayMs(), TimeUnit.MILLISECONDS);
        }
    }

    /** The delay is rounded up: after an early wake-up no timer would be due. */
    private long delayMs() {
        return Math.max(0, (wakeupNanos - nanoClock.getAsLong() + 999_999) / 1_000_000);
    }

    private void onWakeup() {
        wakeupKey = null;
        wakeupNanos = NO_WAKEUP;
        scheduleBatch();
    }
}
