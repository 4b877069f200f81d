package tinford.fleet.overload;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;
import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Membership;

/**
 * Estimated totals of the fleet: the mean of the records times the number of alive gateways. A
 * figure that is not a plausible number counts as zero, and one record counts as at most {@link
 * #MAX_TIMES_MEAN} times the mean of the others, so that a false record among n adds at most that
 * over n to each total.
 */
final class FleetTotals {
    /**
     * A gateway with a higher load is counted with this one; the threshold is then too low, and the
     * gateways' own limits hold as they do for a single gateway.
     */
    static final double MAX_TIMES_MEAN = 2;

    private static final double MAX_FIGURE = 1e12;
    private static final double MIN_DIVISOR = 1e-9;

    /** One in so many of the largest figures is left out of the mean, and at least one. */
    private static final int OUTLIER_DIVISOR = 20;

    /** Units a second by priority class. */
    final double[] offeredByClass = new double[GossipRecord.PRIORITY_CLASSES];

    /** Units a second offered in total. */
    final double demand;

    /** First attempts a second. */
    final double firstAttempts;

    /** Requests in admission queues. */
    final double queued;

    /** Units a second answered within the latency objective. */
    final double onTimeUnits;

    /** Share of late and failed attempts among those that ended. */
    final double failureShare;

    FleetTotals(Membership membership) {
        List<GossipRecord> records = membership.freshRecords();
        double scale = (double) membership.aliveCount() / Math.max(1, records.size());
        demand = sumOffered(records, scale);
        firstAttempts = scale * cappedSum(records, record -> record.firstAttempts);
        queued = scale * cappedSum(records, record -> record.queued);
        onTimeUnits = scale * cappedSum(records, record -> record.onTimeUnits);
        double onTime = cappedSum(records, record -> record.onTime);
        double late = cappedSum(records, record -> record.late);
        double failed = cappedSum(records, record -> record.failed);
        double notOnTime = late + failed;
        failureShare = notOnTime / Math.max(MIN_DIVISOR, onTime + notOnTime);
    }

    /** Fills {@link #offeredByClass} and returns its sum. */
    private double sumOffered(List<GossipRecord> records, double scale) {
        double[] totals = records.stream().mapToDouble(r -> sum(r.offeredUnits)).toArray();
        double cap = cap(totals);
        double sum = 0;
        for (int i = 0; i < totals.length; i++) {
            double part = totals[i] > cap ? cap / totals[i] : 1;
            for (int c = 0; c < GossipRecord.PRIORITY_CLASSES; c++) {
                double offered = sanitize(records.get(i).offeredUnits[c]) * part * scale;
                offeredByClass[c] += offered;
                sum += offered;
            }
        }
        return sum;
    }

    /** Returns 0 for what is not a plausible figure. */
    static double sanitize(double figure) {
        return figure > 0 && figure < MAX_FIGURE ? figure : 0;
    }

    private static double sum(double[] figures) {
        double sum = 0;
        for (double figure : figures) {
            sum += sanitize(figure);
        }
        return sum;
    }

    /** The most that one figure counts, by the mean without the largest ones. */
    private static double cap(double[] figures) {
        double[] sorted = figures.clone();
        Arrays.sort(sorted);
        int kept = sorted.length - Math.max(1, sorted.length / OUTLIER_DIVISOR);
        if (kept < 1) {
            return Double.MAX_VALUE;
        }
        return MAX_TIMES_MEAN * Arrays.stream(sorted, 0, kept).sum() / kept;
    }

    private static double cappedSum(
            List<GossipRecord> records, ToDoubleFunction<GossipRecord> figure) {
        double[] figures =
                records.stream()
                        .mapToDouble(record -> sanitize(figure.applyAsDouble(record)))
                        .toArray();
        double cap = cap(figures);
        return Arrays.stream(figures).map(value -> Math.min(value, cap)).sum();
    }
}
