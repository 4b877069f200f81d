package tinford.fleet.control;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import tinford.fleet.control.ControlSettings.WatchTiming;

/**
 * One follower's watch: writes each line that the follower lacks, one at a time, and a heartbeat
 * where there is none.
 *
 * <p>Holds a revision and one line, whose bytes are shared with other followers: a follower that
 * reads slowly costs no memory that grows. It is closed when it takes in nothing for {@code
 * stallMs}, or does not finish one line within {@code lineMs}.
 *
 * <p>All state belongs to the exchange's I/O thread, except what is volatile.
 */
final class WatchResponseStream {
    /** An empty line; shows that the watch is alive while no revision is sent. */
    static final byte[] HEARTBEAT = "\n".getBytes(StandardCharsets.US_ASCII);

    private final WatchRequest request;
    private final HttpServerExchange exchange;
    private final XnioIoThread thread;
    private final RevisionFeed feed;
    private final WatchTiming timing;
    private final Consumer<WatchResponseStream> whenClosed;
    private final AtomicBoolean wakeScheduled = new AtomicBoolean();
    private StreamSinkChannel channel;
    private XnioExecutor.Key timer;

    /** What is being written; null when all was written and flushed. */
    private ByteBuffer outstanding;

    private long lineStartedAt;
    private long progressAt;
    private boolean lineSinceTick;
    private boolean ending;
    private boolean closed;

    /** Of the last line that was begun. */
    private long sentRevision;

    private volatile int pendingBytes;

    WatchResponseStream(
            WatchRequest request,
            HttpServerExchange exchange,
            RevisionFeed feed,
            WatchTiming timing,
            Consumer<WatchResponseStream> whenClosed) {
        this.request = request;
        this.exchange = exchange;
        this.thread = exchange.getIoThread();
        this.feed = feed;
        this.timing = timing;
        this.whenClosed = whenClosed;
        this.sentRevision = request.after();
    }

    WatchRequest request() {
        return request;
    }

    /** Bytes of the current line that the follower has not taken in yet. */
    int pendingBytes() {
        return pendingBytes;
    }

    /** On the I/O thread, once. */
    void start() {
        if (closed) {
            return;
        }
        if (request.watch()) {
            exchange.getConnection().addCloseListener(connection -> onThread(this::close));
        }
        channel = exchange.getResponseChannel();
        if (channel == null || !exchange.getConnection().isOpen()) {
            close();
            return;
        }
        channel.getWriteSetter().set(sink -> advance());
        timer = thread.executeAtInterval(this::tick, timing.heartbeatMs(), TimeUnit.MILLISECONDS);
        if (request.watch()) {
            begin(HEARTBEAT); // the response's head goes out at once
        }
        advance();
    }

    /** From any thread: there may be a line to write. */
    void wake() {
        if (wakeScheduled.compareAndSet(false, true)) {
            onThread(
                    () -> {
                        wakeScheduled.set(false);
                        advance();
                    });
        }
    }

    /** From any thread. */
    void closeSoon() {
        onThread(this::close);
    }

    private void onThread(Runnable task) {
        if (Thread.currentThread() == thread) {
            task.run();
            return;
        }
        try {
            thread.execute(task);
        } catch (RejectedExecutionException e) {
            // the server is being closed, and its connections with it
        }
    }

    private void advance() {
        if (closed || channel == null) {
            return; // a wake that came before the start is made up for there
        }
        try {
            while (finishOutstanding() && beginNextLine()) {
                // one line after the other, until the follower has all or takes in no more
            }
        } catch (IOException e) {
            close();
        }
    }

    private boolean beginNextLine() throws IOException {
        if (ending) {
            endExchange();
            return false;
        }
        WatchLine line = feed.next(sentRevision);
        if (line == null) {
            if (!request.watch() && feed.isCurrent(sentRevision)) {
                endExchange();
            }
            return false;
        }
        sentRevision = line.revision();
        lineSinceTick = true;
        begin(line.bytes());
        ending = !request.watch();
        return true;
    }

    private void begin(byte[] bytes) {
        outstanding = ByteBuffer.wrap(bytes).asReadOnlyBuffer();
        pendingBytes = bytes.length;
        lineStartedAt = System.nanoTime();
        progressAt = lineStartedAt;
    }

    /** Returns whether nothing is left to write. */
    private boolean finishOutstanding() throws IOException {
        if (outstanding == null) {
            return true;
        }
        while (outstanding.hasRemaining()) {
            int written = channel.write(outstanding);
            if (written <= 0) {
                channel.resumeWrites();
                return false;
            }
            pendingBytes = outstanding.remaining();
            progressAt = System.nanoTime();
        }
        if (!channel.flush()) {
            channel.resumeWrites();
            return false;
        }
        channel.suspendWrites();
        outstanding = null;
        return true;
    }

    private void endExchange() {
        stopTimer();
        closed = true;
        exchange.endExchange();
        whenClosed.accept(this);
    }

    private void tick() {
        if (closed) {
            return;
        }
        long now = System.nanoTime();
        if (outstanding != null) {
            boolean stalled = now - progressAt > TimeUnit.MILLISECONDS.toNanos(timing.stallMs());
            boolean late = now - lineStartedAt > TimeUnit.MILLISECONDS.toNanos(timing.lineMs());
            if (stalled || late) {
                ControlLog.followerStalled(request.follower(), pendingBytes);
                close();
            }
            return;
        }
        if (request.watch() && !lineSinceTick) {
            begin(HEARTBEAT);
        }
        lineSinceTick = false;
        advance();
    }

    private void stopTimer() {
        if (timer != null) {
            timer.remove();
        }
    }

    private void close() {
        if (closed) {
            return;
        }
        closed = true;
        stopTimer();
        outstanding = null;
        pendingBytes = 0;
        IoUtils.safeClose(exchange.getConnection());
        whenClosed.accept(this);
    }
}
