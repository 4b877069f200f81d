package tinford.lab.model;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Chance, a stream for each purpose: what one part of the world draws moves nothing in another, so
 * that two versions of the decisions see the same clients, work and faults.
 */
public final class RandomStreams {
    private final long seed;

    public RandomStreams(long seed) {
        this.seed = seed;
    }

    public UniformRandomProvider of(String purpose) {
        long mixed = seed;
        for (int i = 0; i < purpose.length(); i++) {
            mixed = (mixed ^ purpose.charAt(i)) * 0x9E3779B97F4A7C15L;
            mixed ^= mixed >>> 29;
        }
        return RandomSource.XO_SHI_RO_256_PP.create(mixed);
    }
}
