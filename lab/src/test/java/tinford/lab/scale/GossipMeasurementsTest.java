package tinford.lab.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Growth of what the members' gossip costs, by counted columns at small sizes. */
public class GossipMeasurementsTest {
    private static final long SEED = 4;
    private static final int MESSAGE_BYTES = 256;
    private static final double MESSAGES_PER_SECOND =
            GossipFleet.FANOUT * 1000 / GossipFleet.ROUND_MS;

    @DataProvider
    public Object[][] measurements() {
        return GossipMeasurements.all().stream()
                .map(measurement -> new Object[] {measurement.name(), measurement})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "measurements")
    public void noCountedColumnGrowsFasterThanExpected(String name, Measurement measurement)
            throws Exception {
        ScaleResult result = new ScaleRunner(false, SEED).run(measurement);
        assertEquals(result.violations(), List.of(), name);
    }

    @Test
    public void aGatewaySendsNoMoreInALargerFleet() throws Exception {
        ScaleResult result = new ScaleRunner(false, SEED).run(new GossipTrafficMeasurement());
        for (ScaleResult.Point point : result.points()) {
            Map<String, Double> counted = point.sample().counted();
            assertEquals(counted.get("messages_per_second_and_gateway"), MESSAGES_PER_SECOND);
            assertTrue(
                    counted.get("bytes_per_second_and_gateway")
                            <= MESSAGES_PER_SECOND * MESSAGE_BYTES);
        }
    }

    @Test
    public void nobodyIsSuspectedWronglyAndLossesAreKnown() {
        GossipLossMeasurement measurement = new GossipLossMeasurement();
        for (int gateways : measurement.sizes(false)) {
            Map<String, Double> counted =
                    measurement
                            .measure(gateways, RandomSource.XO_SHI_RO_256_PP.create(SEED))
                            .counted();
            double suspectMs = counted.get("suspect_ms");
            for (String region : List.of("own", "other")) {
                double knownMs = counted.get("loss_known_in_" + region + "_region_ms");
                assertTrue(knownMs >= suspectMs / 2, counted.toString());
                assertTrue(knownMs <= 2 * suspectMs, counted.toString());
            }
            assertTrue(counted.get("regions_whole_after_cut_ms") <= suspectMs, counted.toString());
        }
    }
}
