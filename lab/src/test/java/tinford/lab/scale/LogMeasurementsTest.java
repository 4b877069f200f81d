package tinford.lab.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.fleet.budget.BudgetLedger;

/** Growth of what the replicated log costs, by counted columns at small sizes. */
public class LogMeasurementsTest {
    private static final long SEED = 4;

    private final Map<String, ScaleResult> results = new HashMap<>();

    @DataProvider
    public Object[][] measurements() {
        return LogMeasurements.all().stream()
                .map(measurement -> new Object[] {measurement.name(), measurement})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "measurements")
    public void noCountedColumnGrowsFasterThanExpected(String name, Measurement measurement)
            throws Exception {
        ScaleResult result = resultOf(measurement);
        assertEquals(result.violations(), List.of(), name);
    }

    @Test
    public void eachVoterHasEachEntry() throws Exception {
        ScaleResult result = resultOf(new RaftAppendMeasurement());
        for (ScaleResult.Point point : result.points()) {
            assertEquals(point.sample().counted().get("copies_per_entry"), (double) point.size());
        }
    }

    @Test
    public void renewalsGrowWithTheGatewaysAndAllOfThemHoldALease() throws Exception {
        ScaleResult result = resultOf(new LeaseMeasurement());
        assertEquals(growth(result, "entries_per_second"), Growth.LINEAR);
        for (ScaleResult.Point point : result.points()) {
            assertEquals(point.sample().counted().get("holders"), (double) point.size());
        }
    }

    /** The reason why gateways are no voters. */
    @Test
    public void whereEachGatewayVotesTheWorkGrowsWithTheSquare() throws Exception {
        ScaleResult result = resultOf(new GatewayVoterMeasurement());
        assertEquals(growth(result, "applied_per_second"), Growth.SQUARE);
        assertEquals(growth(result, "applied_per_second_and_gateway"), Growth.LINEAR);
    }

    @Test
    public void theLedgerTakesNoMoreServersThanItsBound() {
        BudgetedServersMeasurement measurement = new BudgetedServersMeasurement();
        int tooMany = BudgetLedger.MAX_SERVERS + 100;
        assertEquals(
                taken(measurement, BudgetLedger.MAX_SERVERS), (double) BudgetLedger.MAX_SERVERS);
        assertEquals(taken(measurement, tooMany), (double) BudgetLedger.MAX_SERVERS);
    }

    private static double taken(BudgetedServersMeasurement measurement, int servers) {
        return measurement.measure(servers, null).counted().get("servers_taken");
    }

    @Test
    public void theFirstGrantGrowsWithTheGateways() throws Exception {
        ScaleResult result = resultOf(new GrantEntryMeasurement());
        assertTrue(Growth.LINEAR.within(growth(result, "grant_bytes")));
    }

    /** Each measurement is played once for all tests: a quorum takes seconds to start. */
    private ScaleResult resultOf(Measurement measurement) throws Exception {
        ScaleResult known = results.get(measurement.name());
        if (known == null) {
            known = new ScaleRunner(false, SEED).run(measurement);
            results.put(measurement.name(), known);
        }
        return known;
    }

    private static Growth growth(ScaleResult result, String column) {
        return result.columns().stream()
                .filter(each -> each.name().equals(column))
                .findFirst()
                .orElseThrow()
                .growth();
    }
}
