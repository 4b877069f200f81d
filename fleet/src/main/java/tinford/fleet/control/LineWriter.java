package tinford.fleet.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.xnio.channels.StreamSinkChannel;
import tinford.fleet.control.ControlSettings.WatchTiming;

/**
 * Writes one line at a time to a channel without blocking, and notices a receiver that is too slow.
 * All methods but {@link #pendingBytes} are called on the channel's I/O thread.
 */
final class LineWriter {
    private final StreamSinkChannel channel;
    private final WatchTiming timing;

    /** The rest of the line that is being written; null once it was written and flushed. */
    private ByteBuffer pending;

    private long lineStartedAtNs;
    private long lastProgressAtNs;
    private volatile int pendingBytes;

    LineWriter(StreamSinkChannel channel, WatchTiming timing) {
        this.channel = channel;
        this.timing = timing;
    }

    /** Bytes of the current line that the receiver has not accepted yet; from any thread. */
    int pendingBytes() {
        return pendingBytes;
    }

    boolean isIdle() {
        return pending == null;
    }

    /** Begins a line; the previous one is finished. */
    void start(byte[] line) {
        pending = ByteBuffer.wrap(line).asReadOnlyBuffer();
        pendingBytes = line.length;
        lineStartedAtNs = System.nanoTime();
        lastProgressAtNs = lineStartedAtNs;
    }

    /**
     * Writes what the channel accepts; if that is not all, the channel's write listener is called
     * when it accepts more.
     *
     * @return whether the line was written and flushed
     */
    boolean write() throws IOException {
        if (pending == null) {
            return true;
        }
        if (!writePending() || !channel.flush()) {
            channel.resumeWrites();
            return false;
        }
        channel.suspendWrites();
        pending = null;
        return true;
    }

    private boolean writePending() throws IOException {
        while (pending.hasRemaining()) {
            int written = channel.write(pending);
            if (written <= 0) {
                return false;
            }
            pendingBytes = pending.remaining();
            lastProgressAtNs = System.nanoTime();
        }
        return true;
    }

    /**
     * Whether the receiver has accepted nothing for the stall timeout, or not finished the line
     * within the line timeout.
     */
    boolean isTooSlow() {
        long nowNs = System.nanoTime();
        return hasElapsed(nowNs - lastProgressAtNs, timing.stallTimeoutMs())
                || hasElapsed(nowNs - lineStartedAtNs, timing.lineTimeoutMs());
    }

    private static boolean hasElapsed(long elapsedNs, long timeoutMs) {
        return elapsedNs > TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    }

    /** Drops the rest of the line. */
    void discard() {
        pending = null;
        pendingBytes = 0;
    }
}
