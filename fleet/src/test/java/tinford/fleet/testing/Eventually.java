package tinford.fleet.testing;

import static org.testng.Assert.fail;

import java.util.concurrent.TimeUnit;

/** Polls, for a bounded time, for a condition that other threads bring about. */
public final class Eventually {
    private static final long TIMEOUT_MS = 20_000;
    private static final long POLL_INTERVAL_MS = 5;

    /** A condition whose evaluation may fail. */
    public interface Condition {
        /** Whether the condition is met; an exception ends the wait. */
        boolean holds() throws Exception;
    }

    private Eventually() {}

    /** Returns once the condition holds, and fails the test when it does not within 20 s. */
    public static void holds(String description, Condition condition) throws Exception {
        if (!holdsWithin(TIMEOUT_MS, condition)) {
            fail("not within " + TIMEOUT_MS + " ms: " + description);
        }
    }

    /** Returns whether the condition came to hold within the time. */
    public static boolean holdsWithin(long timeoutMs, Condition condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (!condition.holds()) {
            if (System.nanoTime() > deadline) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        return true;
    }
}
