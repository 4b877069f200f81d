package tinford.transport;

import java.io.IOException;
import java.lang.System.Logger.Level;
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
 * The one I/O thread and its wake-ups. What comes in at a wake-up is only noted; once all of it is
 * in, one turn plays it to its owners in order of arrival, and then everything that was written
 * meanwhile leaves.
 */
public final class EventLoop {
    private static final System.Logger LOG = System.getLogger("tinford.transport");

    private static final double FAR =
            1e12; // some decades: guards against times handed that no clock can hold

    /** Something that came in and waits to be played. */
    public interface Task {
        void run();
    }

    /** One turn: plays all that is due by calling {@link #playAll}. */
    public interface BatchHandler {
        void run();
    }

    final XnioWorker worker;
    final XnioIoThread thread;

    /** For the buffers of all connections. */
    final BufferBudget bufferBudget;

    final DescriptorBudget descriptorBudget;
    private final BatchHandler turn;
    private final LongSupplier nanos;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private List<Task> due = new ArrayList<>();
    private List<Task> playing = new ArrayList<>();
    private final List<Connection> unflushed = new ArrayList<>();
    private XnioExecutor.Key armed;
    private long armedFor = Long.MAX_VALUE;
    private boolean called;
    private boolean closed;

    /** A call at a time to come. */
    public static final class Timer implements Comparable<Timer> {
        private final long at;
        private Task then;

        private Timer(long at, Task then) {
            this.at = at;
            this.then = then;
        }

        public void cancel() {
            then = null;
        }

        @Override
        public int compareTo(Timer other) {
            return Long.compare(at, other.at);
        }
    }

    /**
     * @param descriptorBudget how many connections there may be, over all parties but operators
     * @param bytes what all their buffers may take
     * @param nanos the time that timers go by; where it is driven, whoever drives it wakes the loop
     *     with {@link #execute}
     */
    public EventLoop(BatchHandler turn, int descriptors, long bytes, LongSupplier nanos)
            throws IOException {
        this.turn = turn;
        this.nanos = nanos;
        this.bufferBudget = new BufferBudget(bytes);
        this.descriptorBudget = new DescriptorBudget(descriptors);
        worker =
                Xnio.getInstance("nio")
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_NAME, "gateway")
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 0)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .set(Options.STACK_SIZE, 256L << 10)
                                        .getMap());
        thread = worker.getIoThread();
    }

    /** From any thread: runs this on the I/O thread. */
    public void execute(Task first) {
        thread.execute(() -> submit(first));
    }

    public void submit(Task what) {
        due.add(what);
        call();
    }

    public Timer schedule(double ms, Task then) {
        Timer t =
                new Timer(nanos.getAsLong() + (long) (Math.min(FAR, Math.max(0, ms)) * 1e6), then);
        timers.add(t);
        call(); // only the end of a turn sets the alarm
        return t;
    }

    /** Plays the timers that have run out, then what came in, each once. */
    public void playAll() {
        long now = nanos.getAsLong();
        while (!timers.isEmpty() && (timers.peek().then == null || timers.peek().at <= now)) {
            Task then = timers.poll().then;
            if (then != null) {
                playing.add(then);
            }
        }
        playing.addAll(due);
        due.clear();
        for (int i = 0; i < playing.size(); i++) {
            try {
                playing.get(i).run();
            } catch (RuntimeException | Error e) {
                // guards all others against a fault in the handling of one, also one that ran out
                // of stack or of memory
                LOG.log(Level.ERROR, "one thing that came in was not handled to its end", e);
            }
        }
        playing.clear();
    }

    /** From any thread: nothing is played any more. */
    public void close() {
        thread.execute(
                () -> {
                    closed = true;
                    worker.shutdownNow();
                });
    }

    /**
     * As {@link #close}, and waits until its threads are gone, so long at most. Guards the
     * process's end, which takes a JVM 0.3 s more while any thread waits within the machine, as
     * those here do.
     */
    public void end(double ms) {
        close();
        try {
            worker.awaitTermination((long) ms, TimeUnit.MILLISECONDS);
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

    void unflushed(Connection link) {
        unflushed.add(link);
        call();
    }

    private void call() {
        if (!called && !closed) {
            called = true;
            thread.execute(this::turn);
        }
    }

    private void turn() {
        if (closed) {
            return;
        }
        try {
            turn.run();
        } catch (RuntimeException | Error e) {
            LOG.log(Level.ERROR, "a turn was cut short", e);
        }
        for (int i = 0; i < unflushed.size(); i++) {
            unflushed.get(i).flush();
        }
        unflushed.clear();
        called = false;
        if (!due.isEmpty()) {
            call();
        }
        arm();
    }

    private void arm() {
        while (!timers.isEmpty() && timers.peek().then == null) {
            timers.poll();
        }
        long next = timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at;
        if (armedFor == next) {
            return;
        }
        if (armed != null) {
            armed.remove(); // also when it would come too soon: a wake-up for nothing costs as
            // much as any other
            armed = null;
        }
        armedFor = next;
        if (timers.isEmpty()) {
            return;
        }
        long ms = Math.max(0, (armedFor - nanos.getAsLong() + 999_999) / 1_000_000);
        armed =
                thread.executeAfter(
                        () -> {
                            armed = null;
                            armedFor = Long.MAX_VALUE;
                            call();
                        },
                        ms,
                        TimeUnit.MILLISECONDS);
    }
}
