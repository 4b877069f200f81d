package tinford.lab.scale;

import java.util.Arrays;
import java.util.List;

/** Quantiles of a handful of values, by the nearest rank. */
final class Quantiles {
    private final double[] sorted;

    Quantiles(List<Double> values) {
        sorted = values.stream().mapToDouble(Double::doubleValue).toArray();
        Arrays.sort(sorted);
    }

    /** NaN where there are no values. */
    double at(double part) {
        if (sorted.length == 0) {
            return Double.NaN;
        }
        int rank = (int) Math.ceil(part * sorted.length);
        return sorted[Math.max(0, rank - 1)];
    }

    double largest() {
        return at(1);
    }
}
