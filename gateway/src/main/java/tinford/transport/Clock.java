package tinford.transport;

import java.time.Instant;

/** The machine's wall clock in fractional milliseconds since the epoch; it never steps back. */
public final class Clock {
    private static final double NANOS_PER_MS = 1e6;

    /** While the wall clock is behind, this one advances at this part of the real pace. */
    private static final double CATCH_UP_PACE = 0.5;

    private double lastMs;
    private long lastNanos = System.nanoTime();

    /**
     * The present time. When the wall clock was set back, this clock goes on at half its pace until
     * the wall clock has caught up.
     */
    public double nowMs() {
        Instant wall = Instant.now();
        long nanos = System.nanoTime();
        double wallMs = wall.getEpochSecond() * 1e3 + wall.getNano() / NANOS_PER_MS;
        double earliestMs = lastMs + (nanos - lastNanos) / (NANOS_PER_MS / CATCH_UP_PACE);
        lastMs = Math.max(wallMs, earliestMs);
        lastNanos = nanos;
        return lastMs;
    }
}
