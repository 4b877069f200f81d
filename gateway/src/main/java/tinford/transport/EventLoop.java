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
 * The I/O thread. Its sockets' events are only queued as tasks when the thread wakes up; then one
 * batch runs them in the order of their arrival, and the connections that have something to write
 * are flushed after the batch.
 */
public final class EventLoop {
    private static final double NANOS_PER_MS = 1e6;

    /** Some decades; longer delays from settings would overflow the clock. */
    private static final double MAX_DELAY_MS = 1e12;

    private static final long IO_THREAD_STACK_BYTES = 256L << 10;
    private static final long NO_ALARM = Long.MAX_VALUE;

    /** Work for the I/O thread, run once within a batch. */
    public interface Task {
        void run();

        /** Called when {@link #run} has thrown: ends what the task worked on. */
        default void abort() {}
    }

    /** Runs one batch, by calling {@link #runDueTasks}. */
    public interface BatchHandler {
        void run();
    }

    final XnioWorker worker;
    final XnioIoThread thread;
    final BufferBudget bufferBudget;
    final DescriptorBudget descriptorBudget;
    private final BatchHandler batchHandler;
    private final Runnable batch = this::runBatch;
    private final TaskIsolation isolation = new TaskIsolation();
    private final LongSupplier nanoClock;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final List<Task> submitted = new ArrayList<>();
    private final List<Task> running = new ArrayList<>();
    private final List<Connection> unflushed = new ArrayList<>();
    private XnioExecutor.Key alarm;
    private long alarmNanos = NO_ALARM;
    private boolean isBatchScheduled;
    private boolean isClosed;
    private volatile Thread.UncaughtExceptionHandler threadEndHandler;

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
     * @param descriptors how many connections may be open, to all kinds of peers but admins
     * @param bufferBytes that the buffers of all connections may take
     * @param nanoClock the clock of the timers; whoever sets it by hand wakes the loop up with
     *     {@link #execute}
     */
    public EventLoop(
            BatchHandler batchHandler, int descriptors, long bufferBytes, LongSupplier nanoClock)
            throws IOException {
        this.batchHandler = batchHandler;
        this.nanoClock = nanoClock;
        this.bufferBudget = new BufferBudget(bufferBytes);
        this.descriptorBudget = new DescriptorBudget(descriptors);
        worker = Xnio.getInstance("nio").createWorker(workerOptions());
        thread = worker.getIoThread();
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
     * Before any connection is open: sets what is called when a thread of this loop ends by a
     * failure, or can't go on, so that nothing is served any more.
     */
    public void setThreadEndHandler(Thread.UncaughtExceptionHandler handler) {
        threadEndHandler = handler;
        thread.setUncaughtExceptionHandler(handler);
    }

    /** Null if none is set. */
    Thread.UncaughtExceptionHandler threadEndHandler() {
        return threadEndHandler;
    }

    /** From any thread: submits the task on the I/O thread. */
    public void execute(Task task) {
        thread.execute(() -> submit(task));
    }

    /** On the I/O thread: runs the task with the next batch. */
    public void submit(Task task) {
        submitted.add(task);
        scheduleBatch();
    }

    /** On the I/O thread: runs the task with the first batch after the delay. */
    public Timer schedule(double delayMs, Task task) {
        double boundedMs = Math.min(MAX_DELAY_MS, Math.max(0, delayMs));
        Timer timer = new Timer(nanoClock.getAsLong() + (long) (boundedMs * NANOS_PER_MS), task);
        timers.add(timer);
        scheduleBatch(); // only the end of a batch sets the alarm
        return timer;
    }

    /** Runs the timers that are due, then the submitted tasks, each once. */
    public void runDueTasks() {
        takeDueTimers();
        running.addAll(submitted);
        submitted.clear();
        for (int i = 0; i < running.size(); i++) {
            isolation.run(running.get(i));
        }
        running.clear();
    }

    private void takeDueTimers() {
        long now = nanoClock.getAsLong();
        while (!timers.isEmpty() && (timers.peek().task == null || timers.peek().dueNanos <= now)) {
            Task task = timers.poll().task;
            if (task != null) {
                running.add(task);
            }
        }
    }

    /** Within a batch: logs a failure whose consequences the caller sees to. */
    public void logFailure(Throwable failure) {
        isolation.logAndRestore(TaskIsolation.TASK_FAILED, failure);
    }

    /** Closes a connection of which an event could not be handled, with the next batch. */
    void closeFailed(Connection connection, Throwable failure) {
        try {
            isolation.closeFailed(connection, failure);
            scheduleBatch();
        } catch (RuntimeException | Error e) {
            reportThreadEnd(e);
            throw e;
        }
    }

    private void reportThreadEnd(Throwable failure) {
        if (threadEndHandler != null) {
            threadEndHandler.uncaughtException(thread, failure);
        }
    }

    /** From any thread: stops the I/O thread; no task runs any more. */
    public void close() {
        thread.execute(
                () -> {
                    isClosed = true;
                    worker.shutdownNow();
                });
    }

    /**
     * As {@link #close}, and waits until the threads are gone or the time is over. The JVM exits
     * 0.3 s later while a thread still waits in the operating system.
     */
    public void closeAndAwait(double timeoutMs) {
        close();
        try {
            worker.awaitTermination((long) timeoutMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public BufferBudget bufferBudget() {
        return bufferBudget;
    }

    public DescriptorBudget descriptorBudget() {
        return descriptorBudget;
    }

    void flushAfterBatch(Connection connection) {
        unflushed.add(connection);
        scheduleBatch();
    }

    private void scheduleBatch() {
        if (isBatchScheduled || isClosed) {
            return;
        }
        // Before the call: while the process starts it comes from another thread.
        isBatchScheduled = true;
        try {
            thread.execute(batch);
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
            isolation.logAndRestore(TaskIsolation.BATCH_FAILED, e);
        }
        flushAll();
        scheduleNext();
    }

    private void flushAll() {
        for (int i = 0; i < unflushed.size(); i++) {
            Connection connection = unflushed.get(i);
            try {
                connection.flush();
            } catch (RuntimeException | Error e) {
                isolation.closeFailed(connection, e);
            }
        }
        unflushed.clear();
    }

    /** Without a next batch or an alarm the thread would sleep on with work to do. */
    private void scheduleNext() {
        try {
            isBatchScheduled = false;
            if (!submitted.isEmpty()) {
                scheduleBatch();
            }
            setAlarm();
        } catch (RuntimeException | Error e) {
            reportThreadEnd(e);
            throw e;
        }
    }

    /** Wakes the thread up for the next timer; needless wake-ups are avoided, as they cost time. */
    private void setAlarm() {
        while (!timers.isEmpty() && timers.peek().task == null) {
            timers.poll();
        }
        long nextNanos = timers.isEmpty() ? NO_ALARM : timers.peek().dueNanos;
        if (alarmNanos == nextNanos) {
            return;
        }
        if (alarm != null) {
            alarm.remove();
            alarm = null;
        }
        alarmNanos = nextNanos;
        if (!timers.isEmpty()) {
            alarm = thread.executeAfter(this::alarmFired, delayMs(), TimeUnit.MILLISECONDS);
        }
    }

    /** Rounded up: an alarm that fires early would find no timer due. */
    private long delayMs() {
        return Math.max(0, (alarmNanos - nanoClock.getAsLong() + 999_999) / 1_000_000);
    }

    private void alarmFired() {
        alarm = null;
        alarmNanos = NO_ALARM;
        scheduleBatch();
    }
}
