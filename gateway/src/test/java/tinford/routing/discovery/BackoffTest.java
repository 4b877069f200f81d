package tinford.routing.discovery;

import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** Distribution of the retries of a fleet of gateways. */
public class BackoffTest {
    private static final int GATEWAYS = 1000;
    private static final int INTERVALS = 10;

    /** Gateways whose calls fail together retry at different times and decreasing rate. */
    @Test
    public void retriesOfAFleetAreSpreadAndGrowRarer() {
        int[] firstRetries = new int[INTERVALS];
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            Backoff backoff = new Backoff(200, 500, new Random(gateway * 0x9E3779B97F4A7C15L));
            // The first wait is between 100 and 300 ms.
            firstRetries[(int) ((backoff.nextWaitMs() - 100) / 20)]++;
            double meanMs = 200;
            for (int retry = 0; retry < 6; retry++) {
                meanMs = Math.min(500, 2 * meanMs);
                double waitMs = backoff.nextWaitMs();
                assertTrue(
                        waitMs >= 0.5 * meanMs && waitMs < 1.5 * meanMs,
                        "retry " + retry + " after " + waitMs + " ms");
            }
            backoff.reset();
            assertTrue(backoff.nextWaitMs() < 300);
        }
        for (int retries : firstRetries) {
            assertTrue(
                    retries > 50 && retries < 150,
                    retries + " first retries in a tenth of the time range");
        }
    }
}
