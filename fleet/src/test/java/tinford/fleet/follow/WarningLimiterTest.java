package tinford.fleet.follow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** The same warning once in a while, and few altogether. */
public class WarningLimiterTest {
    @Test
    public void theSameIsToldOnceAMinute() {
        WarningLimiter limiter = new WarningLimiter(60_000);
        assertTrue(limiter.mayTell("a", 0));
        assertFalse(limiter.mayTell("a", 59_999));
        assertTrue(limiter.mayTell("b", 59_999));
        assertTrue(limiter.mayTell("a", 60_000));
    }

    @Test
    public void everNewOnesAreBounded() {
        WarningLimiter limiter = new WarningLimiter(60_000);
        int told = 0;
        for (int i = 0; i < 10_000; i++) {
            told += limiter.mayTell("warning " + i, 0) ? 1 : 0;
        }
        assertEquals(told, 100);
    }
}
