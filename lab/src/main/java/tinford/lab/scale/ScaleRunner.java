package tinford.lab.scale;

import java.util.ArrayList;
import java.util.List;
import tinford.lab.model.RandomStreams;

/** Plays a measurement at all its sizes. */
public final class ScaleRunner {
    /** A growth is not told apart on fewer. */
    public static final int MIN_SIZES = 4;

    private final boolean full;
    private final RandomStreams streams;

    /**
     * @param full whether the sizes go up to the deployment's own
     */
    public ScaleRunner(boolean full, long seed) {
        this.full = full;
        this.streams = new RandomStreams(seed);
    }

    /**
     * Takes all samples, one repetition of all sizes after the other, so that a drift of the
     * machine falls on all sizes alike. One sample at the smallest size is taken before and thrown
     * away: its code was not compiled yet.
     */
    public ScaleResult run(Measurement measurement) throws Exception {
        int[] sizes = measurement.sizes(full);
        checkSizes(measurement, sizes);
        sample(measurement, sizes[0], -1);
        List<ScaleResult.Point> points = new ArrayList<>();
        for (int repetition = 0; repetition < measurement.repetitions(); repetition++) {
            for (int size : sizes) {
                Sample sample = sample(measurement, size, repetition);
                points.add(new ScaleResult.Point(size, repetition, sample));
            }
        }
        return new ScaleResult(
                measurement.name(), measurement.sizeUnit(), measurement.expected(), sizes, points);
    }

    private Sample sample(Measurement measurement, int size, int repetition) throws Exception {
        String purpose = measurement.name() + "/" + size + "/" + repetition;
        return measurement.measure(size, streams.of(purpose));
    }

    private static void checkSizes(Measurement measurement, int[] sizes) {
        boolean ascending = sizes.length >= MIN_SIZES && sizes[0] > 0;
        for (int i = 1; i < sizes.length; i++) {
            ascending &= sizes[i - 1] < sizes[i];
        }
        if (!ascending) {
            throw new IllegalArgumentException(
                    measurement.name() + ": at least four sizes in ascending order");
        }
    }
}
