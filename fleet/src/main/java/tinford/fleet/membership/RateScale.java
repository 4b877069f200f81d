package tinford.fleet.membership;

/**
 * Encodes a rate in one byte on a logarithmic scale with ten steps per octave, from 1/64 to 635
 * 000. Code 0 stands for zero. The relative error is at most 3.5 %.
 */
final class RateScale {
    private static final int STEPS_PER_OCTAVE = 10;
    private static final double MIN_RATE = 1.0 / 64;
    private static final int MAX_CODE = 255;
    private static final double[] RATES = new double[MAX_CODE + 1];

    static {
        for (int code = 1; code <= MAX_CODE; code++) {
            RATES[code] = MIN_RATE * Math.pow(2, (code - 1.0) / STEPS_PER_OCTAVE);
        }
    }

    private RateScale() {}

    /** Rates out of range get the nearest code; NaN is encoded as zero. */
    static int encode(double rate) {
        if (!(rate > 0)) {
            return 0;
        }
        double octaves = Math.log(rate / MIN_RATE) / Math.log(2);
        long code = Math.round(octaves * STEPS_PER_OCTAVE) + 1;
        return (int) Math.max(1, Math.min(MAX_CODE, code));
    }

    static double decode(byte code) {
        return RATES[code & MAX_CODE];
    }
}
