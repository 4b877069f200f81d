package tinford.testing;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Waits, with a timeout, for a condition that another thread or process makes true. */
public final class Eventually {
    /** Much longer than any expected wait; only ends a test that hangs. */
    public static final int DEFAULT_TIMEOUT_MS = 20_000;

    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private Eventually() {}

    /** Returns once the condition holds; fails after {@link #DEFAULT_TIMEOUT_MS}. */
    public static void await(String expected, Callable<Boolean> condition) throws Exception {
        await(expected, DEFAULT_TIMEOUT_MS, condition);
    }

    /** Returns once the condition holds; fails after the timeout. */
    public static void await(String expected, long timeoutMs, Callable<Boolean> condition)
            throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (!condition.call()) {
            if (System.nanoTime() >= deadlineNanos) {
                throw new AssertionError(
                        "condition not met within " + timeoutMs + " ms: " + expected);
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }
}
