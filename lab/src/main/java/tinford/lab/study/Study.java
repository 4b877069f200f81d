package tinford.lab.study;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.apache.commons.statistics.distribution.TDistribution;
import tinford.api.DecisionModule;
import tinford.lab.model.RunResult;
import tinford.lab.model.Simulation;
import tinford.lab.scenario.Scenario;
import tinford.lab.scenario.Trace;

/** Runs over seeds, several at a time; what comes out does not hang on how many. */
public final class Study {
    private final Scenario scenario;
    private final int threads;

    private final Trace trace;

    public Study(Scenario scenario, int threads) {
        this(scenario, threads, null);
    }

    /**
     * @param trace recorded traffic in place of drawn requests, or null
     */
    public Study(Scenario scenario, int threads, Trace trace) {
        this.scenario = scenario;
        this.threads = threads;
        this.trace = trace;
    }

    /** One outcome a seed, in the order of the seeds. */
    public List<RunResult> run(DecisionModule.Factory maker, long firstSeed, int runs)
            throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<RunResult>> all = new ArrayList<>();
            for (int i = 0; i < runs; i++) {
                long seed = firstSeed + i;
                all.add(pool.submit(() -> new Simulation(scenario, seed, maker, trace).run()));
            }
            List<RunResult> done = new ArrayList<>();
            for (Future<RunResult> f : all) {
                done.add(f.get());
            }
            return done;
        } catch (ExecutionException e) {
            throw new IllegalStateException(
                    "a run ended in a fault: " + e.getCause(), e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    /** A mean with the interval that holds it in so many of a hundred studies. */
    public record Mean(double mean, double least, double most, int n) {
        public boolean holds(double v) {
            return v >= least && v <= most;
        }
    }

    /** By Student's t; with one value only the interval is without end. */
    public static Mean mean(double[] values, double level) {
        int n = values.length;
        double sum = 0;
        for (double v : values) {
            sum += v;
        }
        double mean = sum / n;
        double squares = 0;
        for (double v : values) {
            squares += (v - mean) * (v - mean);
        }
        if (n < 2) {
            return new Mean(mean, Double.NEGATIVE_INFINITY, Double.POSITIVE_INFINITY, n);
        }
        double half =
                Math.sqrt(squares / (n - 1) / n)
                        * TDistribution.of(n - 1).inverseCumulativeProbability(0.5 + level / 2);
        return new Mean(mean, mean - half, mean + half, n);
    }

    /** What a comparison comes to. */
    public enum Verdict {
        BETTER,
        WORSE,
        CANT_TELL
    }

    /** The second against the first, seed by seed. */
    public record Comparison(Mean first, Mean second, Mean difference, Verdict verdict) {}

    public static Comparison compare(
            List<RunResult> first, List<RunResult> second, String figure, double level) {
        double[] a = values(first, figure);
        double[] b = values(second, figure);
        double[] d = new double[a.length];
        for (int i = 0; i < d.length; i++) {
            if (first.get(i).seed != second.get(i).seed) {
                throw new IllegalArgumentException("runs of different seeds are no pair");
            }
            d[i] = b[i] - a[i];
        }
        Mean diff = mean(d, level);
        Verdict v =
                diff.least() > 0
                        ? Verdict.BETTER
                        : diff.most() < 0 ? Verdict.WORSE : Verdict.CANT_TELL;
        return new Comparison(mean(a, level), mean(b, level), diff, v);
    }

    private static double[] values(List<RunResult> all, String figure) {
        return all.stream().mapToDouble(o -> o.figures().get(figure)).toArray();
    }

    /** The mean of each figure. */
    public static Map<String, Mean> means(List<RunResult> all, double level) {
        Map<String, Mean> found = new TreeMap<>();
        for (String f : all.get(0).figures().keySet()) {
            found.put(f, mean(values(all, f), level));
        }
        return found;
    }
}
