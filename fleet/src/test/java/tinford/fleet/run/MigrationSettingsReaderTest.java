package tinford.fleet.run;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.fleet.settings.InvalidOperatorFileException;

/** Settings of migrations are checked against the gateway's own. */
public class MigrationSettingsReaderTest {
    private static final String OPERATOR_FILE = SimulatedMigrationFleet.OPERATOR_FILE;
    private static final String PLAN = SimulatedMigrationFleet.PLAN;

    @DataProvider
    public Object[][] invalidSettings() {
        return new Object[][] {
            {OPERATOR_FILE.replace("web=a", "wub=a"), PLAN, "moves.homes: expected"},
            {OPERATOR_FILE.replace("a=100,100", "a=much"), PLAN, "moves.rooms: expected"},
            {
                OPERATOR_FILE.replace("linger_ms = 6000", "linger_ms = 5000"),
                PLAN,
                "log.linger_ms: expected 5500"
            },
            {OPERATOR_FILE.replaceAll("homes.*", ""), PLAN, "moves.homes: expected one"},
            {OPERATOR_FILE, PLAN.replace("soak_ms = 1000", "soak_ms = -1"), "soak_ms"},
            {OPERATOR_FILE, "plan = ", "TOML"},
            {OPERATOR_FILE.replace("%s", "nowhere"), PLAN, "moves.plan: expected a file"},
        };
    }

    @Test(dataProvider = "invalidSettings")
    public void rejectsInvalidSettingsWithKeyAndExpectation(
            String operatorFile, String plan, String expectedError) throws Exception {
        String message = "";
        try {
            SimulatedMigrationFleet.settings(operatorFile, plan);
        } catch (InvalidOperatorFileException e) {
            message = e.getMessage();
        }
        assertTrue(message.contains(expectedError), message);
    }
}
