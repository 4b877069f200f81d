package tinford.testing;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Waits, within a bound, for what another thread or process brings about. */
public final class Eventually {
    /** Far longer than anything takes: it only ends a test that hangs. */
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
                throw new AssertionError("not within " + timeoutMs + " ms: " + expected);
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }
}
