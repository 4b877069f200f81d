package tinford.lab.scale;

import java.util.Map;

/**
 * The columns measured once at one size.
 *
 * @param counted columns that are the same on every machine (operations, bytes, messages); tests
 *     assert their growth
 * @param timed columns that depend on the machine and its load; they are reported only
 */
public record Sample(Map<String, Double> counted, Map<String, Double> timed) {
    /** Takes copies, so that a sample never changes after the fact. */
    public Sample {
        counted = Map.copyOf(counted);
        timed = Map.copyOf(timed);
    }
}
