package tinford.fleet.overload;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;
import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Membership;

/**
 * Totals over the fleet: the mean of the fresh records times the number of live gateways.
 *
 * <p>The effect of an erroneous record is bounded: values that are not finite count as 0, and each
 * record counts at most {@link #MAX_FACTOR_OF_MEAN} times the mean without the largest records, so
 * that one erroneous record among n adds at most a share of MAX_FACTOR_OF_MEAN/n to each total.
 */
final class FleetTotals {
    /**
     * A gateway whose demand really is higher counts with this multiple only. The threshold is then
     * too low, and the gateways' own limits apply, as they do without a fleet.
     */
    static final double MAX_FACTOR_OF_MEAN = 2;

    /** Values from this on are invalid and count as 0. */
    private static final double MAX_VALUE = 1e12;

    /** The largest one of this many records, at least one, is left out of the mean. */
    private static final int OUTLIER_DIVISOR = 20;

    private static final double MIN_ATTEMPTS = 1e-9;

    /** Units per second by priority class. */
    final double[] demandByClass = new double[GossipRecord.PRIORITY_CLASSES];

    /** Units per second. */
    final double demand;

    /** First attempts per second. */
    final double firstAttempts;

    /** Requests in the admission queues. */
    final double queued;

    /** Units per second that were completed within the latency objective. */
    final double onTimeUnits;

    /** Share of the ended attempts that were late or failed. */
    final double failedShare;

    FleetTotals(Membership membership) {
        List<GossipRecord> records = membership.freshRecords();
        double scale = (double) membership.aliveCount() / Math.max(1, records.size());
        demand = addDemand(records, scale);
        firstAttempts = scale * cappedSum(records, record -> record.firstAttempts);
        queued = scale * cappedSum(records, record -> record.queued);
        onTimeUnits = scale * cappedSum(records, record -> record.onTimeUnits);
        double onTime = cappedSum(records, record -> record.onTime);
        double notOnTime =
                cappedSum(records, record -> record.late)
                        + cappedSum(records, record -> record.failed);
        failedShare = notOnTime / Math.max(MIN_ATTEMPTS, onTime + notOnTime);
    }

    /** Fills {@link #demandByClass}; returns the sum over all classes. */
    private double addDemand(List<GossipRecord> records, double scale) {
        double[] demands =
                records.stream().mapToDouble(record -> sum(record.offeredUnits)).toArray();
        double cap = cap(demands);
        double total = 0;
        for (int i = 0; i < demands.length; i++) {
            double factor = demands[i] > cap ? cap / demands[i] : 1;
            for (int priorityClass = 0;
                    priorityClass < GossipRecord.PRIORITY_CLASSES;
                    priorityClass++) {
                double units =
                        sanitize(records.get(i).offeredUnits[priorityClass]) * factor * scale;
                demandByClass[priorityClass] += units;
                total += units;
            }
        }
        return total;
    }

    /** Returns the value, or 0 if it is negative, not a number or too large. */
    static double sanitize(double value) {
        return value > 0 && value < MAX_VALUE ? value : 0;
    }

    private static double sum(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += sanitize(value);
        }
        return sum;
    }

    /**
     * The value to which larger ones are cut: a multiple of the mean without the largest values.
     */
    private static double cap(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int countedValues = sorted.length - Math.max(1, sorted.length / OUTLIER_DIVISOR);
        return countedValues < 1
                ? Double.MAX_VALUE
                : MAX_FACTOR_OF_MEAN
                        * Arrays.stream(sorted, 0, countedValues).sum()
                        / countedValues;
    }

    private static double cappedSum(
            List<GossipRecord> records, ToDoubleFunction<GossipRecord> field) {
        double[] values =
                records.stream()
                        .mapToDouble(record -> sanitize(field.applyAsDouble(record)))
                        .toArray();
        double cap = cap(values);
        return Arrays.stream(values).map(value -> Math.min(value, cap)).sum();
    }
}
