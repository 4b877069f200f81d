package tinford.lab.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.Arrays;
import java.util.function.DoubleUnaryOperator;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Growth is named on constructed series, with offsets, noise and both ranges of sizes. */
public class GrowthTest {
    private static final int[] FULL_SIZES = {60, 300, 1500, 6000};
    private static final int[] SMALL_SIZES = {20, 40, 80, 160};
    private static final double NOISE = 0.03;

    @DataProvider
    public Object[][] series() {
        return new Object[][] {
            {Growth.DECREASING, (DoubleUnaryOperator) n -> 1000 / n},
            {Growth.CONSTANT, (DoubleUnaryOperator) n -> 7},
            {Growth.CONSTANT, (DoubleUnaryOperator) n -> 0},
            {Growth.LOGARITHMIC, (DoubleUnaryOperator) n -> 3 * Math.log(n)},
            {Growth.LINEAR, (DoubleUnaryOperator) n -> 4 * n},
            {Growth.LINEAR, (DoubleUnaryOperator) n -> 50 + 4 * n},
            {Growth.N_LOG_N, (DoubleUnaryOperator) n -> n * Math.log(n)},
            {Growth.SQUARE, (DoubleUnaryOperator) n -> n * n / 2},
            {Growth.SQUARE, (DoubleUnaryOperator) n -> 10 * n + n * n},
            {Growth.SQUARE, (DoubleUnaryOperator) n -> n * n * n},
        };
    }

    @Test(dataProvider = "series")
    public void aConstructedSeriesIsNamed(Growth growth, DoubleUnaryOperator values) {
        assertEquals(Growth.fit(FULL_SIZES, valuesOf(FULL_SIZES, values)), growth);
        assertEquals(Growth.fit(SMALL_SIZES, valuesOf(SMALL_SIZES, values)), growth);
    }

    @Test(dataProvider = "series")
    public void noiseDoesNotChangeTheNameAtFullSizes(Growth growth, DoubleUnaryOperator values) {
        UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(11);
        double[] noisy = valuesOf(FULL_SIZES, values);
        for (int i = 0; i < noisy.length; i++) {
            noisy[i] *= 1 + NOISE * (2 * random.nextDouble() - 1);
        }
        assertEquals(Growth.fit(FULL_SIZES, noisy), growth);
    }

    @Test
    public void theExponentIsTheSlopeOfTheLogarithms() {
        assertEquals(Growth.exponent(FULL_SIZES, valuesOf(FULL_SIZES, n -> 5)), 0, 1e-9);
        assertEquals(Growth.exponent(FULL_SIZES, valuesOf(FULL_SIZES, n -> 5 * n)), 1, 1e-9);
        assertEquals(Growth.exponent(FULL_SIZES, valuesOf(FULL_SIZES, n -> n * n)), 2, 1e-9);
        assertEquals(Growth.exponent(FULL_SIZES, new double[] {0, 0, 0, 3}), 0, 1e-9);
    }

    @Test
    public void growthsAreOrdered() {
        assertTrue(Growth.LINEAR.within(Growth.LINEAR));
        assertTrue(Growth.CONSTANT.within(Growth.N_LOG_N));
        assertFalse(Growth.SQUARE.within(Growth.N_LOG_N));
    }

    @Test
    public void tooFewOrUnpairedValuesAreRefused() {
        expectThrows(
                IllegalArgumentException.class,
                () -> Growth.fit(new int[] {1, 2}, new double[] {1, 2}));
        expectThrows(
                IllegalArgumentException.class,
                () -> Growth.fit(FULL_SIZES, new double[] {1, 2, 3}));
    }

    private static double[] valuesOf(int[] sizes, DoubleUnaryOperator values) {
        return Arrays.stream(sizes).mapToDouble(values::applyAsDouble).toArray();
    }
}
