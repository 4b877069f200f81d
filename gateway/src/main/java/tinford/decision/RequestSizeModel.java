package tinford.decision;

/**
 * How much longer a request takes than one of mean size: a line of latency over units, fitted to
 * recent answers. Latency is relative to the class's objective.
 */
final class RequestSizeModel {
    /** Relative latency that is assumed until answers tell otherwise. */
    static final double INITIAL_RELATIVE_LATENCY = 0.12;

    /** Weight of one answer in the moving means. */
    private static final double GAIN = 0.02;

    private static final double MIN_UNITS_VARIANCE = 0.01;
    private static final double MIN_RELATIVE_SIZE = 0.1;
    private static final double AVOID_ZERO = 1e-9;

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

    /** What a request of so many units takes, as a multiple of one of mean units. */
    double relativeSize(double units) {
        double variance = meanUnitsSquared - meanUnits * meanUnits;
        double slope =
                variance < MIN_UNITS_VARIANCE
                        ? 0
                        : (meanUnitsTimesLatency - meanUnits * meanLatency) / variance;
        // a request of no units takes no less than no time
        slope = Math.max(0, Math.min(slope, meanLatency / meanUnits));
        return Math.max(
                MIN_RELATIVE_SIZE,
                1 + slope * (units - meanUnits) / Math.max(AVOID_ZERO, meanLatency));
    }
}
