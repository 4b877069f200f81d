package tinford.logging;

import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Writes log lines to standard error on its own thread, because standard error may be a pipe that
 * nobody reads, and the I/O thread must not block on it. Lines that do not fit into the queue are
 * dropped, and their number is logged before the next line that is written.
 */
final class LogWriter {
    private static final int QUEUE_CAPACITY = 256;
    private static final long THREAD_STACK_BYTES = 128 << 10;
    private static final long FLUSH_POLL_NANOS = 1_000_000;
    private static final ArrayBlockingQueue<byte[]> QUEUE =
            new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private static final AtomicLong DROPPED = new AtomicLong();

    /** The number of lines that are queued but not yet written. */
    private static final AtomicLong UNWRITTEN = new AtomicLong();

    static {
        Thread writer = new Thread(null, LogWriter::writeLines, "log", THREAD_STACK_BYTES);
        writer.setDaemon(true);
        writer.start();
    }

    private LogWriter() {}

    /**
     * @param line the encoded line, including its line end
     */
    static void offer(byte[] line) {
        UNWRITTEN.incrementAndGet();
        if (!QUEUE.offer(line)) {
            UNWRITTEN.decrementAndGet();
            DROPPED.incrementAndGet();
        }
    }

    static void flush(double timeoutMs) {
        long deadlineNanos = System.nanoTime() + (long) (timeoutMs * 1e6);
        while (UNWRITTEN.get() > 0 && System.nanoTime() < deadlineNanos) {
            LockSupport.parkNanos(FLUSH_POLL_NANOS);
        }
    }

    private static void writeLines() {
        while (true) {
            byte[] line;
            try {
                line = QUEUE.take();
            } catch (InterruptedException e) {
                return; // nothing interrupts this thread
            }
            try {
                writeDropped();
                System.err.write(line, 0, line.length);
                System.err.flush();
            } catch (RuntimeException | Error e) {
                // The thread must survive an OutOfMemoryError, or nothing more is logged.
                DROPPED.incrementAndGet();
            } finally {
                UNWRITTEN.decrementAndGet();
            }
        }
    }

    private static void writeDropped() {
        long dropped = DROPPED.getAndSet(0);
        if (dropped > 0) {
            System.err.println(
                    Instant.now() + " WARNING tinford.logging: lines dropped count=" + dropped);
        }
    }
}
