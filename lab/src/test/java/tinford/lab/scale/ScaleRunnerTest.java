package tinford.lab.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.testng.annotations.Test;
import tinford.lab.LabLine;

/** The runner, its result and its files, on a measurement whose figures are known. */
public class ScaleRunnerTest {
    /** Counts size and its square; "draws" holds one number of its chance. */
    private record Known(int[] sizes, Growth expected) implements Measurement {
        @Override
        public String name() {
            return "known.one";
        }

        @Override
        public String sizeUnit() {
            return "things";
        }

        @Override
        public int[] sizes(boolean full) {
            return sizes;
        }

        @Override
        public int repetitions() {
            return 3;
        }

        @Override
        public Sample measure(int size, UniformRandomProvider random) {
            double draw = random.nextDouble();
            return new Sample(
                    Map.of("pairs", (double) size * size, "things", (double) size),
                    Map.of("draws", draw));
        }
    }

    private static final int[] SIZES = {10, 20, 40, 80};

    @Test
    public void columnsCarryMeansIntervalsAndGrowth() throws Exception {
        ScaleResult result = new ScaleRunner(false, 1).run(new Known(SIZES, Growth.SQUARE));
        assertEquals(result.points().size(), 12);
        List<ScaleResult.Column> columns = result.columns();
        assertEquals(
                columns.stream().map(ScaleResult.Column::name).toList(),
                List.of("pairs", "things", "draws"));
        assertEquals(columns.get(0).growth(), Growth.SQUARE);
        assertEquals(columns.get(0).exponent().mean(), 2, 1e-9);
        assertEquals(columns.get(1).growth(), Growth.LINEAR);
        assertEquals(columns.get(1).means().get(3).mean(), 80, 1e-9);
        assertEquals(columns.get(1).means().get(3).most(), 80, 1e-9);
        assertTrue(columns.get(2).means().get(0).least() < columns.get(2).means().get(0).most());
    }

    @Test
    public void onlyCountedColumnsThatGrowFasterAreViolations() throws Exception {
        ScaleResult result = new ScaleRunner(false, 1).run(new Known(SIZES, Growth.LINEAR));
        assertEquals(
                result.violations().stream().map(ScaleResult.Column::name).toList(),
                List.of("pairs"));
        ScaleResult allowed = new ScaleRunner(false, 1).run(new Known(SIZES, Growth.SQUARE));
        assertEquals(allowed.violations(), List.of());
    }

    @Test
    public void chanceHangsOnTheSeedAlone() throws Exception {
        Known known = new Known(SIZES, Growth.SQUARE);
        List<ScaleResult.Point> first = new ScaleRunner(false, 7).run(known).points();
        List<ScaleResult.Point> again = new ScaleRunner(false, 7).run(known).points();
        List<ScaleResult.Point> other = new ScaleRunner(false, 8).run(known).points();
        assertEquals(first, again);
        assertTrue(!first.equals(other));
        assertTrue(!first.get(0).sample().equals(first.get(4).sample()), "repetitions differ");
    }

    @Test
    public void fewerThanFourOrUnorderedSizesAreRefused() {
        ScaleRunner runner = new ScaleRunner(false, 1);
        for (int[] sizes : new int[][] {{1, 2, 3}, {1, 3, 2, 4}, {0, 1, 2, 3}, {1, 1, 2, 3}}) {
            expectThrows(
                    IllegalArgumentException.class,
                    () -> runner.run(new Known(sizes, Growth.SQUARE)));
        }
    }

    @Test
    public void filesHoldAllValuesTheSummaryAndAPlot() throws Exception {
        Path folder = Files.createTempDirectory("scale");
        ScaleResult result = new ScaleRunner(false, 1).run(new Known(SIZES, Growth.SQUARE));
        new ResultFiles(folder).write(result);
        List<String> values = Files.readAllLines(folder.resolve("known.one.csv"));
        assertEquals(values.get(0), "size,repetition,column,value");
        assertEquals(values.get(1), "10,0,pairs,100.0");
        assertEquals(values.size(), 1 + 12 * 3);
        List<String> summary = Files.readAllLines(folder.resolve("known.one.summary.csv"));
        assertEquals(summary.get(1), "10,pairs,counted,100.0,100.0,100.0,3");
        assertEquals(summary.size(), 1 + 4 * 3);
        assertTrue(Files.size(folder.resolve("known.one.png")) > 1000);
        try (var left = Files.list(folder)) {
            assertEquals(left.count(), 3);
        }
    }

    @Test
    public void anUnknownPrefixIsAWrongWord() {
        assertEquals(LabLine.of().execute("scale", "--only", "nothing.like.it"), 2);
    }

    @Test
    public void namesAreUniqueAndEachHasFourSizes() {
        List<Measurement> all = Measurements.all();
        assertEquals(all.stream().map(Measurement::name).distinct().count(), all.size());
        for (Measurement measurement : all) {
            for (boolean full : new boolean[] {false, true}) {
                assertTrue(
                        measurement.sizes(full).length >= ScaleRunner.MIN_SIZES,
                        measurement.name());
            }
            assertTrue(measurement.repetitions() >= 2, measurement.name());
        }
    }
}
