package tinford.fleet.overload;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;
import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Membership;

/**
 * What the fleet sees together: the mean of the records times those that live. A figure that is no
 * number counts as nought, and one record weighs at most {@link #MOST} times the mean of the
 * others, so that a lying one among n adds at most MOST/n to each total.
 */
final class FleetTotals {
    // a lie takes so much, over the number of gateways, of the demand away from what is borne: of
    // 14 a seventh. An honest gateway
    // with more is counted as if it had no more: the line is then too low, and gateways' own limits
    // hold as they do alone
    static final double MOST = 2;

    final double[] asked = new double[GossipRecord.PRIORITY_CLASSES];
    final double demand, first, waiting, goodUnits, bad;

    FleetTotals(Membership membership) {
        List<GossipRecord> records = membership.freshRecords();
        double scale = (double) membership.aliveCount() / Math.max(1, records.size());
        double[] sizes = records.stream().mapToDouble(s -> sum(s.offeredUnits)).toArray();
        double most = most(sizes), all = 0;
        for (int i = 0; i < sizes.length; i++) {
            double part = sizes[i] > most ? most / sizes[i] : 1;
            for (int c = 0; c < GossipRecord.PRIORITY_CLASSES; c++) {
                double a = clean(records.get(i).offeredUnits[c]) * part * scale;
                asked[c] += a;
                all += a;
            }
        }
        demand = all;
        first = scale * capped(records, s -> s.firstAttempts);
        waiting = scale * capped(records, s -> s.queued);
        goodUnits = scale * capped(records, s -> s.onTimeUnits);
        double good = capped(records, s -> s.onTime),
                not = capped(records, s -> s.late) + capped(records, s -> s.failed);
        bad = not / Math.max(1e-9, good + not);
    }

    static double clean(double figure) {
        return figure > 0 && figure < 1e12 ? figure : 0;
    }

    static double sum(double[] figures) {
        double sum = 0;
        for (double f : figures) sum += clean(f);
        return sum;
    }

    /** The most that one figure counts: so many times the mean without the largest twentieth. */
    static double most(double[] figures) {
        double[] sorted = figures.clone();
        Arrays.sort(sorted);
        int kept = sorted.length - Math.max(1, sorted.length / 20);
        return kept < 1 ? Double.MAX_VALUE : MOST * Arrays.stream(sorted, 0, kept).sum() / kept;
    }

    private static double capped(
            List<GossipRecord> records, ToDoubleFunction<GossipRecord> figure) {
        double[] figures =
                records.stream().mapToDouble(s -> clean(figure.applyAsDouble(s))).toArray();
        double most = most(figures);
        return Arrays.stream(figures).map(f -> Math.min(f, most)).sum();
    }
}
