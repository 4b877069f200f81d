package tinford.fleet.control;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
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
 * One follower's watch: writes each line that the follower lacks, one at a time, and heartbeats
 * while there is none.
 *
 * <p>It holds a revision and one line, whose bytes are shared with other followers, so a follower
 * that reads slowly takes no additional memory. A follower that is too slow by the {@link
 * WatchTiming} is disconnected.
 *
 * <p>All state is confined to the exchange's I/O thread, except for volatile fields.
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

    /** Null before the start. */
    private volatile LineWriter writer;

    private XnioExecutor.Key timer;
    private boolean lineSinceTick;
    private boolean lastLineStarted;
    private boolean closed;

    /** The revision of the last line that was started. */
    private long sentRevision;

    /**
     * @param onClosed called once, on the I/O thread, when the watch has ended
     */
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

    /** Bytes of the current line that the follower has not accepted yet; from any thread. */
    int pendingBytes() {
        LineWriter current = writer;
        return current == null ? 0 : current.pendingBytes();
    }

    /** Begins the response; on the I/O thread, once. */
    void start() {
        if (closed) {
            return;
        }
        if (request.watch()) {
            exchange.getConnection().addCloseListener(connection -> runOnIoThread(this::close));
        }
        StreamSinkChannel channel = exchange.getResponseChannel();
        if (channel == null || !exchange.getConnection().isOpen()) {
            close();
            return;
        }
        writer = new LineWriter(channel, timing);
        channel.getWriteSetter().set(sink -> advance());
        timer =
                ioThread.executeAtInterval(
                        this::tick, timing.heartbeatIntervalMs(), TimeUnit.MILLISECONDS);
        if (request.watch()) {
            writer.start(HEARTBEAT); // sends the head of the response at once
        }
        advance();
    }

    /** Writes the next line if there is one; from any thread. */
    void wake() {
        if (wakeScheduled.compareAndSet(false, true)) {
            runOnIoThread(
                    () -> {
                        wakeScheduled.set(false);
                        advance();
                    });
        }
    }

    /** Ends the watch soon; from any thread. */
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

    /** Writes line after line until the follower is current or accepts no more bytes. */
    private void advance() {
        if (closed || writer == null) {
            return; // start() advances too, so no wake is lost before it
        }
        try {
            boolean started = true;
            while (started && writer.write()) {
                started = startNextLine();
            }
        } catch (IOException e) {
            close();
        }
    }

    /** Returns whether there was a line to start. */
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
        writer.start(line.bytes());
        lastLineStarted = !request.watch();
        return true;
    }

    private void endExchange() {
        stopTimer();
        closed = true;
        exchange.endExchange();
        onClosed.accept(this);
    }

    /** Once each heartbeat interval. */
    private void tick() {
        if (closed) {
            return;
        }
        if (!writer.isIdle()) {
            closeIfTooSlow();
            return;
        }
        if (request.watch() && !lineSinceTick) {
            writer.start(HEARTBEAT);
        }
        lineSinceTick = false;
        advance();
    }

    private void closeIfTooSlow() {
        if (writer.isTooSlow()) {
            ControlLog.followerStalled(request.follower(), writer.pendingBytes());
            close();
        }
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
        if (writer != null) {
            writer.discard();
        }
        IoUtils.safeClose(exchange.getConnection());
        onClosed.accept(this);
    }
}
