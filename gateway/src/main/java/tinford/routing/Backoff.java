package tinford.routing;

import java.util.random.RandomGenerator;

/**
 * How long to wait before a party that turned us away is asked again: longer each time, and by
 * chance, so that a whole fleet that was turned away together does not come back together.
 */
final class Backoff {
    private final double first;
    private final double most;
    private final RandomGenerator chance;
    private double mean;

    /**
     * @param first the mean wait after the first refusal; twice as long after each further one, up
     *     to {@code most}
     */
    Backoff(double first, double most, RandomGenerator chance) {
        this.first = first;
        this.most = most;
        this.chance = chance;
        this.mean = first;
    }

    /** Between half and one and a half of the mean. */
    double next() {
        double wait = mean * (0.5 + chance.nextDouble());
        mean = Math.min(most, 2 * mean);
        return wait;
    }

    /** It has answered. */
    void heard() {
        mean = first;
    }
}
