package tinford.lab.scale;

import org.apache.commons.rng.UniformRandomProvider;

/** A measurement with a table of sizes for CI and one for the deployment's own. */
record TableMeasurement(
        String name, String sizeUnit, int[] small, int[] large, Growth expected, Play play)
        implements Measurement {
    private static final int REPETITIONS = 5;

    /** Takes one sample. */
    interface Play {
        Sample sample(int size, UniformRandomProvider random) throws Exception;
    }

    @Override
    public int[] sizes(boolean full) {
        return (full ? large : small).clone();
    }

    @Override
    public int repetitions() {
        return REPETITIONS;
    }

    @Override
    public Sample measure(int size, UniformRandomProvider random) throws Exception {
        return play.sample(size, random);
    }
}
