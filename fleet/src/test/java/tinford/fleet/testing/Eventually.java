package tinford.fleet.testing;

import static org.testng.Assert.fail;

import java.util.concurrent.TimeUnit;

/** Waits, for a bounded time, until a condition holds that other threads fulfil. */
public final class Eventually {
    private static final long TIMEOUT_MS = 20_000;
    private static final long POLL_INTERVAL_MS = 5;

    /** A condition whose evaluation may throw an exception. */
    public interface Condition {
        /** Whether the condition holds; an exception ends the wait and is passed on. */
        boolean holds() throws Exception;
    }

    private Eventually() {}

    /** Returns once the condition holds, and fails the test when it does not within 20 s. */
    public static void holds(String description, Condition condition) throws Exception {
        if (!holdsWithin(TIMEOUT_MS, condition)) {
            fail("did not happen within " + TIMEOUT_MS + " ms: " + description);
        }
    }

    /** Waits until the condition holds; returns false if it does not within the timeout. */
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
