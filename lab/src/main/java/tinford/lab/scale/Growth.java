package tinford.lab.scale;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.DoubleUnaryOperator;

/** Named shapes of growth, slowest first. */
public enum Growth {
    /** Falls as the size rises. */
    DECREASING(size -> 0),
    /** The same at every size. */
    CONSTANT(size -> 0),
    /** Grows with the logarithm of the size. */
    LOGARITHMIC(size -> Math.log(size + 1)),
    /** Grows with the size. */
    LINEAR(size -> size),
    /** Grows with the size times its logarithm. */
    N_LOG_N(size -> size * Math.log(size + 1)),
    /** Grows with the square of the size, or faster. */
    SQUARE(size -> size * size);

    /** A residual below this, relative to the values, counts as an exact fit. */
    private static final double EXACT_RESIDUAL = 0.02;

    /** The simplest shape wins while its residual is within this factor of the best one's. */
    private static final double RESIDUAL_TOLERANCE = 1.5;

    /** With a best residual beyond this no shape fits, and the exponent alone decides. */
    private static final double POOR_RESIDUAL = 0.2;

    private static final double CONSTANT_BELOW = 0.15;
    private static final double LOGARITHMIC_BELOW = 0.5;
    private static final double LINEAR_BELOW = 1.15;
    private static final double N_LOG_N_BELOW = 1.5;

    /** A fitted exponent below this names a falling series. */
    private static final double FALLING_EXPONENT = -0.15;

    private final DoubleUnaryOperator shape;

    Growth(DoubleUnaryOperator shape) {
        this.shape = shape;
    }

    /** Whether this is no faster than {@code limit}. */
    public boolean within(Growth limit) {
        return compareTo(limit) <= 0;
    }

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    /**
     * The simplest shape {@code a + b * shape(size)}, with {@code a} and {@code b} not negative,
     * that fits the values about as well as the best one.
     */
    public static Growth fit(int[] sizes, double[] values) {
        if (sizes.length != values.length || sizes.length < 3) {
            throw new IllegalArgumentException("as many values as sizes, three at least");
        }
        double exponent = exponent(sizes, values);
        if (exponent < FALLING_EXPONENT) {
            return DECREASING;
        }
        Map<Growth, Double> residuals = new EnumMap<>(Growth.class);
        double best = Double.POSITIVE_INFINITY;
        for (Growth growth : values()) {
            if (growth != DECREASING) {
                double residual = growth.residual(sizes, values);
                residuals.put(growth, residual);
                best = Math.min(best, residual);
            }
        }
        if (best > POOR_RESIDUAL) {
            return ofExponent(exponent);
        }
        double limit = Math.max(EXACT_RESIDUAL, RESIDUAL_TOLERANCE * best);
        return residuals.entrySet().stream()
                .filter(entry -> entry.getValue() <= limit)
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    private static Growth ofExponent(double exponent) {
        if (exponent < CONSTANT_BELOW) {
            return CONSTANT;
        }
        if (exponent < LOGARITHMIC_BELOW) {
            return LOGARITHMIC;
        }
        if (exponent < LINEAR_BELOW) {
            return LINEAR;
        }
        return exponent < N_LOG_N_BELOW ? N_LOG_N : SQUARE;
    }

    /**
     * The slope of the values over the sizes, both as logarithms: 0 is constant, 1 linear, 2
     * square. Points that are not above nought are left out; with fewer than two left it is 0.
     */
    public static double exponent(int[] sizes, double[] values) {
        int count = 0;
        double sumX = 0;
        double sumY = 0;
        double sumXx = 0;
        double sumXy = 0;
        for (int i = 0; i < sizes.length; i++) {
            if (values[i] > 0) {
                double x = Math.log(sizes[i]);
                double y = Math.log(values[i]);
                count++;
                sumX += x;
                sumY += y;
                sumXx += x * x;
                sumXy += x * y;
            }
        }
        double spread = count * sumXx - sumX * sumX;
        return count < 2 || spread <= 0 ? 0 : (count * sumXy - sumX * sumY) / spread;
    }

    /** The root of the mean squared relative error of the best fit of this shape. */
    private double residual(int[] sizes, double[] values) {
        double scale = mean(values);
        if (scale == 0) {
            return 0;
        }
        double[] weights = new double[values.length];
        for (int i = 0; i < values.length; i++) {
            double size = Math.max(Math.abs(values[i]), 1e-6 * Math.abs(scale));
            weights[i] = 1 / (size * size);
        }
        double[] line = weightedLine(sizes, values, weights);
        double squares = 0;
        for (int i = 0; i < values.length; i++) {
            double error = values[i] - line[0] - line[1] * shape.applyAsDouble(sizes[i]);
            squares += error * error * weights[i];
        }
        return Math.sqrt(squares / values.length);
    }

    /** Offset and factor of the weighted least squares, neither of them negative. */
    private double[] weightedLine(int[] sizes, double[] values, double[] weights) {
        double sum = 0;
        double sumX = 0;
        double sumY = 0;
        double sumXx = 0;
        double sumXy = 0;
        for (int i = 0; i < values.length; i++) {
            double x = shape.applyAsDouble(sizes[i]);
            sum += weights[i];
            sumX += weights[i] * x;
            sumY += weights[i] * values[i];
            sumXx += weights[i] * x * x;
            sumXy += weights[i] * x * values[i];
        }
        double spread = sum * sumXx - sumX * sumX;
        double factor = spread <= 0 ? 0 : (sum * sumXy - sumX * sumY) / spread;
        double offset = (sumY - factor * sumX) / sum;
        if (factor < 0) {
            return new double[] {sumY / sum, 0};
        }
        if (offset < 0 && sumXx > 0) {
            return new double[] {0, sumXy / sumXx};
        }
        return new double[] {offset, factor};
    }

    private static double mean(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += Math.abs(value);
        }
        return sum / values.length;
    }
}
