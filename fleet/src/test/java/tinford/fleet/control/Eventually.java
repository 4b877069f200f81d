package tinford.fleet.control;

import static org.testng.Assert.fail;

import java.util.concurrent.TimeUnit;

/** Waits for what other threads bring about. */
final class Eventually {
    private static final long WITHIN_MS = 20_000;
    private static final long PAUSE_MS = 5;

    /** A condition that may fail to be found out. */
    interface Condition {
        boolean holds() throws Exception;
    }

    private Eventually() {}

    static void holds(String what, Condition condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WITHIN_MS);
        while (!condition.holds()) {
            if (System.nanoTime() > deadline) {
                fail("not within " + WITHIN_MS + " ms: " + what);
            }
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        }
    }
}
