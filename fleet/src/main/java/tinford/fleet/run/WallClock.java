package tinford.fleet.run;

/** This machine's wall clock, which never steps back. For one thread. */
final class WallClock {
    /** Shifts the clock, for tests of clocks that differ. */
    private static final String OFFSET_PROPERTY = "tinford.clock.offset_ms";

    private final double offsetMs = Double.parseDouble(System.getProperty(OFFSET_PROPERTY, "0"));
    private double lastMs;

    /** Unix time in ms, at least that of the call before. */
    double nowMs() {
        lastMs = Math.max(lastMs, System.currentTimeMillis() + offsetMs);
        return lastMs;
    }
}
