package tinford.lab.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.lab.study.Study;

/** The server of the model against what is known of queues, before anything it says is believed. */
public class QueueTest {
    private static final int RUNS = 24;
    private static final int WARM = 4000;
    private static final int COUNTED = 30_000;

    /** Time in the system: mean of one run, and the mean number inside by time. */
    private static double[] run(long seed, int cores, double load, Distribution dist, double cv) {
        EventQueue agenda = new EventQueue(0);
        RandomStreams streams = new RandomStreams(seed);
        double work = 10;
        ServerMachine m = new ServerMachine(agenda, "m", "a", 0, cores, Integer.MAX_VALUE, 1, 1, 0);
        ContinuousSampler takes = dist.of(streams.of("work"), work, cv);
        ContinuousSampler gap =
                Distribution.EXPONENTIAL.of(streams.of("gaps"), work / cores / load, 1);
        double[] sums = new double[4]; // time inside, left, number inside by time, last change
        int[] came = {0};
        Runnable[] next = new Runnable[1];
        double[] from = {0};
        next[0] =
                () -> {
                    if (came[0]++ == WARM) {
                        from[0] = agenda.now();
                        sums[2] = 0;
                    }
                    boolean counts = came[0] > WARM;
                    double at = agenda.now();
                    count(sums, m, at);
                    m.come(
                            new ServerMachine.Visit(
                                    takes.sample(),
                                    end -> {
                                        assertEquals(end, AttemptOutcome.SUCCESS);
                                        sums[2] +=
                                                (agenda.now() - sums[3])
                                                        * (m.inside()
                                                                + 1); // this one has just left
                                        sums[3] = agenda.now();
                                        if (counts) {
                                            sums[0] += agenda.now() - at;
                                            sums[1]++;
                                        }
                                    }));
                    if (came[0] < WARM + COUNTED) {
                        agenda.after(gap.sample(), next[0]);
                    }
                };
        agenda.after(0, next[0]);
        agenda.run(Double.MAX_VALUE / 2);
        return new double[] {
            sums[0] / sums[1], sums[2] / (sums[3] - from[0]), sums[1] / (sums[3] - from[0])
        };
    }

    private static void count(double[] sums, ServerMachine m, double now) {
        sums[2] += (now - sums[3]) * m.inside();
        sums[3] = now;
    }

    @DataProvider
    public Object[][] queues() {
        double e4 = erlangC(4, 4 * 0.8);
        return new Object[][] {
            // cores, load, work, its cv, mean time inside for work of 10
            {1, 0.5, Distribution.EXPONENTIAL, 1.0, 10 / (1 - 0.5)},
            {1, 0.8, Distribution.EXPONENTIAL, 1.0, 10 / (1 - 0.8)},
            {4, 0.8, Distribution.EXPONENTIAL, 1.0, 10 + e4 * 10 / (4 * (1 - 0.8))},
            {1, 0.7, Distribution.CONSTANT, 0.0, 10 + 0.7 * 10 / (2 * (1 - 0.7))},
            {
                1,
                0.6,
                Distribution.LOGNORMAL,
                1.5,
                10 + 0.6 * 10 * (1 + 1.5 * 1.5) / (2 * (1 - 0.6))
            },
        };
    }

    private static double erlangC(int c, double a) {
        double sum = 0;
        double term = 1;
        for (int k = 0; k < c; k++) {
            sum += term;
            term *= a / (k + 1);
        }
        double last = term * c / (c - a);
        return last / (sum + last);
    }

    /**
     * M/M/1, M/M/c, M/D/1 and M/G/1 (Pollaczek and Khinchine) lie in their intervals; so does
     * Little's law.
     */
    @Test(dataProvider = "queues")
    public void timesInsideAreThoseOfTheory(
            int cores, double load, Distribution dist, double cv, double theory) {
        double[] times = new double[RUNS];
        for (int i = 0; i < RUNS; i++) {
            double[] r = run(i, cores, load, dist, cv);
            times[i] = r[0];
            assertEquals(
                    r[1] / (r[0] * r[2]),
                    1,
                    0.02,
                    "number inside is rate times time inside, seed " + i);
        }
        Study.Mean mean = Study.mean(times, 0.999);
        assertTrue(mean.holds(theory), theory + " is not in " + mean);
        assertTrue(mean.most() - mean.least() < 0.2 * theory, "too wide to say anything: " + mean);
    }

    @Test
    public void whatIsDueTogetherHappensInTheOrderItWasSet() {
        EventQueue agenda = new EventQueue(5);
        List<Integer> done = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            int n = i;
            agenda.after(i % 3 == 0 ? 7 : 3, () -> done.add(n));
        }
        agenda.run(8);
        assertEquals(done.size(), 66);
        agenda.run(100);
        List<Integer> sorted = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            if (i % 3 != 0) {
                sorted.add(i);
            }
        }
        for (int i = 0; i < 100; i += 3) {
            sorted.add(i);
        }
        assertEquals(done, sorted);
    }

    @Test
    public void aColdServerGrowsAndADeadOneLosesWhatItHad() {
        EventQueue agenda = new EventQueue(1000);
        ServerMachine m = new ServerMachine(agenda, "m", "a", 0, 2, 1, 1, 0.25, 1000);
        List<AttemptOutcome> ends = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            m.come(new ServerMachine.Visit(10, ends::add));
        }
        assertEquals(ends, List.of(AttemptOutcome.OVERLOADED));
        m.die();
        assertEquals(
                ends,
                List.of(
                        AttemptOutcome.OVERLOADED,
                        AttemptOutcome.CONNECTION_LOST,
                        AttemptOutcome.CONNECTION_LOST,
                        AttemptOutcome.CONNECTION_LOST));
        m.come(new ServerMachine.Visit(10, ends::add));
        assertEquals(ends.get(4), AttemptOutcome.UNREACHABLE);
        m.start();
        assertEquals(m.capacity(), 0.5);
        agenda.run(1500);
        assertEquals(m.capacity(), 2 * 0.625);
        agenda.run(2500);
        assertEquals(m.capacity(), 2.0);
        assertTrue(!m.cold());
        assertEquals(ends.size(), 5); // what went with it ends once
    }
}
