package tinford.lab.model;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** How amounts of work spread about their mean. */
public enum Distribution {
    CONSTANT {
        @Override
        public ContinuousSampler of(UniformRandomProvider chance, double mean, double cv) {
            return () -> mean;
        }
    },
    EXPONENTIAL {
        @Override
        public ContinuousSampler of(UniformRandomProvider chance, double mean, double cv) {
            return ZigguratSampler.Exponential.of(chance, mean);
        }
    },
    LOGNORMAL {
        @Override
        public ContinuousSampler of(UniformRandomProvider chance, double mean, double cv) {
            double s2 = Math.log(1 + cv * cv);
            return LogNormalSampler.of(
                    ZigguratSampler.NormalizedGaussian.of(chance),
                    Math.log(mean) - s2 / 2,
                    Math.max(1e-9, Math.sqrt(s2)));
        }
    };

    /**
     * @param cv standard deviation over the mean, where the form leaves it open
     */
    public abstract ContinuousSampler of(UniformRandomProvider chance, double mean, double cv);
}
