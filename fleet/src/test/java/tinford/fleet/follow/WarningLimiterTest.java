package tinford.fleet.follow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** The same warning once an interval, and a bounded number of different ones. */
public class WarningLimiterTest {
    @Test
    public void sameWarningIsAllowedOnceAMinute() {
        WarningLimiter limiter = new WarningLimiter(60_000);
        assertTrue(limiter.tryAcquire("a", 0));
        assertFalse(limiter.tryAcquire("a", 59_999));
        assertTrue(limiter.tryAcquire("b", 59_999));
        assertTrue(limiter.tryAcquire("a", 60_000));
    }

    @Test
    public void differentWarningsAreBounded() {
        WarningLimiter limiter = new WarningLimiter(60_000);
        int told = 0;
        for (int i = 0; i < 10_000; i++) {
            told += limiter.tryAcquire("warning " + i, 0) ? 1 : 0;
        }
        assertEquals(told, 100);
    }
}
