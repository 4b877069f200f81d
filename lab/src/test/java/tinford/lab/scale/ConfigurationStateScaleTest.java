package tinford.lab.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A configuration's costs grow as expected, by counted columns at small sizes. */
public class ConfigurationStateScaleTest {
    private static final long SEED = 1;

    @DataProvider
    public Object[][] measurements() {
        return ConfigurationStateMeasurements.all().stream()
                .map(measurement -> new Object[] {measurement.name(), measurement})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "measurements")
    public void countedColumnsGrowAsExpected(String name, Measurement measurement)
            throws Exception {
        ScaleResult result = new ScaleRunner(false, SEED).run(measurement);
        assertEquals(result.violations(), List.of(), name);
        assertTrue(result.columns().stream().anyMatch(ScaleResult.Column::counted), name);
    }
}
