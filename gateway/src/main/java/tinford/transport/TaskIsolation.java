package tinford.transport;

import java.lang.System.Logger.Level;

/**
 * Runs tasks so that one that fails does not stop the others. What a failed task worked on is
 * ended, and the failure is logged. Both take memory, of which some is kept back for the case that
 * none is left.
 */
final class TaskIsolation {
    private static final System.Logger LOG = System.getLogger("tinford.transport");

    static final String TASK_FAILED = "task failed on the I/O thread";
    static final String BATCH_FAILED = "batch failed on the I/O thread";

    /** Enough to close a connection and to format a stack trace. */
    private static final int RESERVE_BYTES = 64 << 10;

    private byte[] reserve = new byte[RESERVE_BYTES];

    void run(EventLoop.Task task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            abort(task, e);
        }
    }

    /** The task has failed: ends what it worked on. */
    void abort(EventLoop.Task task, Throwable failure) {
        reserve = null;
        try {
            task.abort();
        } catch (RuntimeException | Error e) {
            log(TASK_FAILED, e);
        }
        logAndRestore(TASK_FAILED, failure);
    }

    /** A socket's event could not be handled: its connection is closed with the next batch. */
    void closeFailed(Connection connection, Throwable failure) {
        reserve = null;
        try {
            connection.fail(CloseReason.INTERNAL_ERROR);
        } finally {
            logAndRestore(TASK_FAILED, failure);
        }
    }

    /** Logs a failure of a whole batch, or of a task whose caller sees to the consequences. */
    void logAndRestore(String event, Throwable failure) {
        reserve = null;
        log(event, failure);
        try {
            reserve = new byte[RESERVE_BYTES];
        } catch (OutOfMemoryError e) {
            reserve = null; // the next failure has to do without
        }
    }

    private static void log(String event, Throwable failure) {
        try {
            LOG.log(Level.ERROR, event, failure);
        } catch (RuntimeException | Error e) {
            // No line for lack of memory: the failure must not end the thread.
        }
    }
}
