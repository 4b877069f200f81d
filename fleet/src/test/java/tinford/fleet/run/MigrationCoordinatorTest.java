package tinford.fleet.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.fleet.migration.MigrationState;

/** A migration over three gateways, one of which fails in each step. */
public class MigrationCoordinatorTest {
    private static final int MAX_STEPS = 6000;

    /** What befalls a gateway in each step of the migration. */
    private enum Fault {
        NONE,
        KILLED,
        SUSPENDED,
        CUT_OFF
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {{Fault.NONE}, {Fault.KILLED}, {Fault.SUSPENDED}, {Fault.CUT_OFF}};
    }

    /**
     * Two operators begin at once at two gateways; the migration ends. A second one, to a group
     * that fails, is reverted.
     */
    @Test(dataProvider = "faults")
    public void aMigrationEndsWhateverFaultAGatewayHasAndIsRevertedWhereTheNewGroupFails(
            Object fault) throws Exception {
        SimulatedMigrationFleet fleet =
                new SimulatedMigrationFleet(
                        SimulatedMigrationFleet.settings(
                                SimulatedMigrationFleet.OPERATOR_FILE,
                                SimulatedMigrationFleet.PLAN));
        fleet.steps(40);
        fleet.command(0, "begin one");
        fleet.command(1, "begin two");
        fleet.command(1, "what");
        fleet.steps(20);
        stepUntilDone(fleet, (Fault) fault);
        assertEquals(fleet.latestStatus().state(), MigrationState.State.DONE, fleet.lastOutcome());
        assertEquals(outcomes(fleet, "begun"), 1, fleet.commandOutcomes.toString());
        assertEquals(outcomes(fleet, "refused"), 2, fleet.commandOutcomes.toString());
        fleet.steps(100);
        SimulatedMigrationFleet.Gateway last = fleet.gateways.get(2);
        assertTrue(fleet.routes(last, "web", 5, "b") && !fleet.routes(last, "web", 5, "a"));
        fleet.command(2, "back three");
        fleet.stepUntil(MigrationState.State.UNDONE);
        fleet.newGroupFails = true;
        fleet.command(1, "begin four");
        fleet.stepUntil(MigrationState.State.FORWARD);
        assertEquals(
                fleet.stepUntil(MigrationState.State.DONE, MigrationState.State.UNDONE),
                MigrationState.State.UNDONE);
        assertTrue(fleet.routes(fleet.gateways.get(0), "base", 5, "a"));
    }

    private static long outcomes(SimulatedMigrationFleet fleet, String word) {
        return fleet.commandOutcomes.stream().filter(outcome -> outcome.contains(word)).count();
    }

    private static void stepUntilDone(SimulatedMigrationFleet fleet, Fault fault) {
        int stepIndex = -1;
        for (int i = 0;
                i < MAX_STEPS && fleet.latestStatus().state() != MigrationState.State.DONE;
                i++) {
            fleet.step();
            int victim = fleet.latestStatus().stepIndex() % 3;
            if (fleet.latestStatus().stepIndex() != stepIndex && fault != Fault.NONE) {
                stepIndex = fleet.latestStatus().stepIndex();
                inject(fleet, fault, victim);
                fleet.steps(30 + 10 * (stepIndex % 4)); // some past the lease, some not
                recover(fleet, fault, victim);
            }
        }
    }

    private static void inject(SimulatedMigrationFleet fleet, Fault fault, int victim) {
        switch (fault) {
            case KILLED -> fleet.kill(victim);
            case SUSPENDED -> fleet.gateways.get(victim).suspended = true;
            default -> fleet.cutOff(victim);
        }
    }

    private static void recover(SimulatedMigrationFleet fleet, Fault fault, int victim) {
        if (fault == Fault.KILLED) {
            fleet.start(victim);
        }
        fleet.gateways.get(victim).suspended = false;
        fleet.logs.heal();
    }
}
