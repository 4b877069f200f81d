package tinford.lab.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import tinford.lab.model.RandomStreams;

/** Where the time before a first dispatch goes, in small fleets. */
public class AddedTimeScaleTest {
    @Test
    public void theCounterAddsTheSameInAnyFleet() throws Exception {
        ScaleResult result = ScaleTests.play("added.fleet");
        assertEquals(result.violations(), List.of());
        assertEquals(ScaleTests.growth(result, "counter_p99_ms"), Growth.CONSTANT);
    }

    @Test
    public void withoutCeilingsTheBudgetHolds() throws Exception {
        Measurement load = ScaleTests.named("added.load_without_ceilings");
        for (int percent : new int[] {30, 75}) {
            Sample sample = load.measure(percent, new RandomStreams(1).of("load " + percent));
            assertTrue(sample.timed().get("total_p99_ms") < AddedTimeMeasurements.BUDGET_MS);
            assertEquals(sample.timed().get("share_that_waits_for_a_ceiling"), 0, 0);
        }
    }

    @Test
    public void aCeilingIsWaitedForOnlyWhereItIsSliced() throws Exception {
        Measurement width = ScaleTests.named("added.width");
        Sample whole = width.measure(1, new RandomStreams(1).of("whole"));
        Sample sliced = width.measure(6, new RandomStreams(1).of("sliced"));
        assertTrue(whole.timed().get("total_p99_ms") < AddedTimeMeasurements.BUDGET_MS);
        assertTrue(sliced.timed().get("ceiling_p99_ms") > AddedTimeMeasurements.BUDGET_MS);
    }
}
