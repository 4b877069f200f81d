package tinford.lab.scale;

import org.apache.commons.rng.UniformRandomProvider;

/** One cost of the program as a function of one size of the deployment. */
public interface Measurement {
    /** A unique name whose dots group by area, such as {@code decisions.ranking}. */
    String name();

    /** What the sizes count, such as {@code servers}. */
    String sizeUnit();

    /**
     * At least {@link ScaleRunner#MIN_SIZES} sizes in ascending order.
     *
     * @param full up to the deployment's own size where it fits on one machine; else sizes that CI
     *     plays within seconds
     */
    int[] sizes(boolean full);

    /** How many independent samples are taken at each size, for the intervals. */
    int repetitions();

    /** Takes one sample. All chance is drawn from {@code random}. */
    Sample measure(int size, UniformRandomProvider random) throws Exception;

    /** The fastest growth that a counted column of this measurement may show. */
    Growth expected();
}
