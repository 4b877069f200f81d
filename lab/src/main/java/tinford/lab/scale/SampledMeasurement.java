package tinford.lab.scale;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * A measurement put together from its parts.
 *
 * @param smallSizes for CI
 * @param fullSizes up to the deployment's where it fits
 */
record SampledMeasurement(
        String name,
        String sizeUnit,
        int[] smallSizes,
        int[] fullSizes,
        int repetitions,
        Growth expected,
        Sampler sampler)
        implements Measurement {
    /** Takes one sample. */
    interface Sampler {
        Sample sample(int size, long seed) throws Exception;
    }

    @Override
    public int[] sizes(boolean full) {
        return (full ? fullSizes : smallSizes).clone();
    }

    @Override
    public Sample measure(int size, UniformRandomProvider random) throws Exception {
        return sampler.sample(size, random.nextLong());
    }
}
