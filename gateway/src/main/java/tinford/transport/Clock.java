package tinford.transport;

import java.time.Instant;

/** The wall clock that all machines share, in milliseconds with fractions; it never steps back. */
public final class Clock {
    private double last;
    private long lastNano = System.nanoTime();

    /**
     * When the wall clock was set back, this one goes on at half its pace until the other has
     * caught up.
     */
    public double now() {
        Instant wall = Instant.now();
        long nano = System.nanoTime();
        last =
                Math.max(
                        wall.getEpochSecond() * 1e3 + wall.getNano() / 1e6,
                        last + (nano - lastNano) / 2e6);
        lastNano = nano;
        return last;
    }
}
