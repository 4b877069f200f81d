package tinford.transport;

import java.lang.System.Logger.Level;

/**
 * Runs tasks so that a failing one does not stop the others. A failed task is aborted, and its
 * failure is logged. Both need memory, so a reserve is allocated in advance and released while a
 * failure is handled, in case the heap is exhausted.
 */
final class TaskIsolation {
    private static final System.Logger LOG = System.getLogger("tinford.transport");

    static final String TASK_FAILED = "task failed on the I/O thread";
    static final String BATCH_FAILED = "batch failed on the I/O thread";

    /** Enough memory to close a connection and to format a stack trace. */
    private static final int RESERVE_BYTES = 64 << 10;

    private byte[] memoryReserve = new byte[RESERVE_BYTES];

    void run(EventLoop.Task task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            abort(task, e);
        }
    }

    /** Aborts a task that has failed, and logs the failure. */
    void abort(EventLoop.Task task, Throwable failure) {
        memoryReserve = null;
        try {
            task.abort();
        } catch (RuntimeException | Error e) {
            log(TASK_FAILED, e);
        }
        logAndRestore(TASK_FAILED, failure);
    }

    /** Closes, in the next batch, a connection whose socket event could not be handled. */
    void closeFailed(Connection connection, Throwable failure) {
        memoryReserve = null;
        try {
            connection.fail(CloseReason.INTERNAL_ERROR);
        } finally {
            logAndRestore(TASK_FAILED, failure);
        }
    }

    /**
     * Logs a failure of a batch, or of a task whose caller handles the consequences, and allocates
     * the memory reserve again.
     */
    void logAndRestore(String message, Throwable failure) {
        memoryReserve = null;
        log(message, failure);
        try {
            memoryReserve = new byte[RESERVE_BYTES];
        } catch (OutOfMemoryError e) {
            memoryReserve = null; // the next failure is handled without a reserve
        }
    }

    private static void log(String message, Throwable failure) {
        try {
            LOG.log(Level.ERROR, message, failure);
        } catch (RuntimeException | Error e) {
            // Out of memory, so nothing is logged; the failure must not end the thread.
        }
    }
}
