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
    private final XnioIoThread ioThread;
    private final RevisionFeed feed;
    private final WatchTiming timing;
    private final Consumer<WatchResponseStream> onClosed;
    private final AtomicBoolean wakeScheduled = new AtomicBoolean();
    private StreamSinkChannel channel;
    private XnioExecutor.Key timer;

    /** What is being written; null when all was written and flushed. */
    private ByteBuffer pending;

    private long lineStartedAt;
    private long lastProgressAt;
    private boolean lineSinceTick;
    private boolean lastLineStarted;
    private boolean closed;

    /** Of the last line that was begun. */
    private long sentRevision;

    private volatile int pendingBytes;

    WatchResponseStream(
            WatchRequest request,
            HttpServerExchange exchange,
            RevisionFeed feed,
            WatchTiming timing,
            Consumer<WatchResponseStream> onClosed) {
        this.request = request;
        this.exchange = exchange;
        this.ioThread = exchange.getIoThread();
        this.feed = feed;
        this.timing = timing;
        this.onClosed = onClosed;
        this.sentRevision = request.afterRevision();
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
            exchange.getConnection().addCloseListener(connection -> runOnIoThread(this::close));
        }
        channel = exchange.getResponseChannel();
        if (channel == null || !exchange.getConnection().isOpen()) {
            close();
            return;
        }
        channel.getWriteSetter().set(sink -> advance());
        timer =
                ioThread.executeAtInterval(
                        this::tick, timing.heartbeatIntervalMs(), TimeUnit.MILLISECONDS);
        if (request.watch()) {
            startWriting(HEARTBEAT); // the response's head goes out at once
        }
        advance();
    }

    /** From any thread: there may be a line to write. */
    void wake() {
        if (wakeScheduled.compareAndSet(false, true)) {
            runOnIoThread(
                    () -> {
                        wakeScheduled.set(false);
                        advance();
                    });
        }
    }

    /** From any thread. */
    void closeAsync() {
        runOnIoThread(this::close);
    }

    private void runOnIoThread(Runnable task) {
        if (Thread.currentThread() == ioThread) {
            task.run();
            return;
        }
        try {
            ioThread.execute(task);
        } catch (RejectedExecutionException e) {
            // the server is being closed, and its connections with it
        }
    }

    private void advance() {
        if (closed || channel == null) {
            return; // a wake that came before the start is made up for there
        }
        try {
            while (writePending() && startNextLine()) {
                // one line after the other, until the follower has all or takes in no more
            }
        } catch (IOException e) {
            close();
        }
    }

    private boolean startNextLine() throws IOException {
        if (lastLineStarted) {
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
        startWriting(line.bytes());
        lastLineStarted = !request.watch();
        return true;
    }

    private void startWriting(byte[] bytes) {
        pending = ByteBuffer.wrap(bytes).asReadOnlyBuffer();
        pendingBytes = bytes.length;
        lineStartedAt = System.nanoTime();
        lastProgressAt = lineStartedAt;
    }

    /** Returns whether nothing is left to write. */
    private boolean writePending() throws IOException {
        if (pending == null) {
            return true;
        }
        while (pending.hasRemaining()) {
            int written = channel.write(pending);
            if (written <= 0) {
                channel.resumeWrites();
                return false;
            }
            pendingBytes = pending.remaining();
            lastProgressAt = System.nanoTime();
        }
        if (!channel.flush()) {
            channel.resumeWrites();
            return false;
        }
        channel.suspendWrites();
        pending = null;
        return true;
    }

    private void endExchange() {
        stopTimer();
        closed = true;
        exchange.endExchange();
        onClosed.accept(this);
    }

    private void tick() {
        if (closed) {
            return;
        }
        long now = System.nanoTime();
        if (pending != null) {
            boolean stalled =
                    now - lastProgressAt > TimeUnit.MILLISECONDS.toNanos(timing.stallTimeoutMs());
            boolean late =
                    now - lineStartedAt > TimeUnit.MILLISECONDS.toNanos(timing.lineTimeoutMs());
            if (stalled || late) {
                ControlLog.followerStalled(request.follower(), pendingBytes);
                close();
            }
            return;
        }
        if (request.watch() && !lineSinceTick) {
            startWriting(HEARTBEAT);
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
        pending = null;
        pendingBytes = 0;
        IoUtils.safeClose(exchange.getConnection());
        onClosed.accept(this);
    }
}
