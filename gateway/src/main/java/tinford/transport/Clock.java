package tinford.transport;

import java.time.Instant;

/** A wall clock in fractional milliseconds since the epoch that never goes backwards. */
public final class Clock {
    private static final double NANOS_PER_MS = 1e6;

    /** The rate at which this clock advances while it is ahead of the system's wall clock. */
    private static final double CATCH_UP_RATE = 0.5;

    private double lastMs;
    private long lastNanos = System.nanoTime();

    /**
     * The current time. After the system's wall clock was set back, this clock advances at half the
     * normal rate until the wall clock has caught up.
     */
    public double nowMs() {
        Instant wall = Instant.now();
        long nanos = System.nanoTime();
        double wallMs = wall.getEpochSecond() * 1e3 + wall.getNano() / NANOS_PER_MS;
        double earliestMs = lastMs + (nanos - lastNanos) / (NANOS_PER_MS / CATCH_UP_RATE);
        lastMs = Math.max(wallMs, earliestMs);
        lastNanos = nanos;
        return lastMs;
    }
}
