package tinford.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;
import tinford.lab.study.Study;

/**
 * All samples of one measurement.
 *
 * @param sizes in ascending order
 * @param points one for each size and repetition
 */
public record ScaleResult(
        String name, String sizeUnit, Growth expected, int[] sizes, List<Point> points) {
    /** The level of all intervals. */
    public static final double LEVEL = 0.95;

    /** One sample. */
    public record Point(int size, int repetition, Sample sample) {}

    /**
     * One column over the sizes.
     *
     * @param counted whether it is the same on every machine
     * @param means in the order of the sizes, with their intervals
     * @param exponent of the size, with its interval over the repetitions
     */
    public record Column(
            String name,
            boolean counted,
            List<Study.Mean> means,
            Study.Mean exponent,
            Growth growth) {}

    /** All columns, the counted ones first, each group in the order of its names. */
    public List<Column> columns() {
        List<Column> columns = new ArrayList<>();
        addColumns(columns, true, Sample::counted);
        addColumns(columns, false, Sample::timed);
        return columns;
    }

    /** The counted columns that grow faster than expected. */
    public List<Column> violations() {
        return columns().stream()
                .filter(column -> column.counted() && !column.growth().within(expected))
                .toList();
    }

    private void addColumns(
            List<Column> columns, boolean counted, Function<Sample, Map<String, Double>> kind) {
        Set<String> names = new TreeSet<>();
        points.forEach(point -> names.addAll(kind.apply(point.sample()).keySet()));
        for (String column : names) {
            columns.add(column(column, counted, kind));
        }
    }

    private Column column(
            String column, boolean counted, Function<Sample, Map<String, Double>> kind) {
        List<Study.Mean> means = new ArrayList<>();
        double[] centres = new double[sizes.length];
        for (int i = 0; i < sizes.length; i++) {
            int size = sizes[i];
            double[] values = values(column, kind, point -> point.size() == size);
            means.add(Study.mean(values, LEVEL));
            centres[i] = means.get(i).mean();
        }
        return new Column(
                column, counted, means, exponent(column, kind), Growth.fit(sizes, centres));
    }

    private Study.Mean exponent(String column, Function<Sample, Map<String, Double>> kind) {
        int repetitions = points.size() / sizes.length;
        double[] exponents = new double[repetitions];
        for (int i = 0; i < repetitions; i++) {
            int repetition = i;
            double[] values = values(column, kind, point -> point.repetition() == repetition);
            exponents[i] = Growth.exponent(sizes, values);
        }
        return Study.mean(exponents, LEVEL);
    }

    private double[] values(
            String column, Function<Sample, Map<String, Double>> kind, Predicate<Point> chosen) {
        return points.stream()
                .filter(chosen)
                .mapToDouble(point -> value(point, column, kind))
                .toArray();
    }

    private double value(Point point, String column, Function<Sample, Map<String, Double>> kind) {
        Double value = kind.apply(point.sample()).get(column);
        if (value == null) {
            throw new IllegalStateException(
                    name + ": no column " + column + " at size " + point.size());
        }
        return value;
    }
}
