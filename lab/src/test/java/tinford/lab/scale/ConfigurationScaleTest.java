package tinford.lab.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import tinford.lab.model.RandomStreams;

/** What a change of configuration costs a gateway that knows only SIGHUP. */
public class ConfigurationScaleTest {
    @Test(timeOut = 60_000)
    public void aChangedRouteTakesARestart() throws Exception {
        Sample sample =
                ScaleTests.named("configuration.restart")
                        .measure(100, new RandomStreams(1).of("one"));
        assertEquals(sample.counted().get("restarts_a_change"), 1, 0);
        assertTrue(sample.timed().get("in_force_ms") > 0);
    }

    @Test(timeOut = 120_000)
    public void eachGatewayRestartsForEachChange() throws Exception {
        Sample sample =
                ScaleTests.named("configuration.fleet")
                        .measure(530, new RandomStreams(1).of("fleet"));
        assertEquals(sample.counted().get("computed_restarts_a_change"), 530, 0);
        assertEquals(sample.counted().get("computed_restarts_a_day"), 742_000, 0);
    }
}
