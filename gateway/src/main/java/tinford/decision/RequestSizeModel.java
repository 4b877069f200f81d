package tinford.decision;

/**
 * Estimates the latency of a request relative to one of mean size, by a linear regression of
 * latency over units of recent responses. Latency is relative to the latency objective of the
 * request class.
 */
final class RequestSizeModel {
    /** Relative latency that is assumed before the first responses. */
    static final double INITIAL_RELATIVE_LATENCY = 0.12;

    /** Weight of one response in the exponential moving averages. */
    private static final double GAIN = 0.02;

    private static final double MIN_UNITS_VARIANCE = 0.01;
    private static final double MIN_RELATIVE_SIZE = 0.1;
    private static final double EPSILON = 1e-9;

    private double meanUnits = 1;
    private double meanLatency = INITIAL_RELATIVE_LATENCY;
    private double meanUnitsSquared = 1;
    private double meanUnitsTimesLatency = INITIAL_RELATIVE_LATENCY;

    double meanUnits() {
        return meanUnits;
    }

    void observe(double units, double relativeLatency) {
        meanUnits += GAIN * (units - meanUnits);
        meanLatency += GAIN * (relativeLatency - meanLatency);
        meanUnitsSquared += GAIN * (units * units - meanUnitsSquared);
        meanUnitsTimesLatency += GAIN * (units * relativeLatency - meanUnitsTimesLatency);
    }

    /**
     * Returns the expected latency of a request, as a multiple of that of a request of mean units.
     */
    double relativeSize(double units) {
        double variance = meanUnitsSquared - meanUnits * meanUnits;
        double slope =
                variance < MIN_UNITS_VARIANCE
                        ? 0
                        : (meanUnitsTimesLatency - meanUnits * meanLatency) / variance;
        // the regression line must not be negative at 0 units
        slope = Math.max(0, Math.min(slope, meanLatency / meanUnits));
        return Math.max(
                MIN_RELATIVE_SIZE,
                1 + slope * (units - meanUnits) / Math.max(EPSILON, meanLatency));
    }
}
