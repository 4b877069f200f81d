package tinford.fleet.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import org.testng.annotations.Test;
import tinford.fleet.budget.LedgerEntry;
import tinford.fleet.budget.StaticShares;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.LeaseTable;
import tinford.fleet.migration.MigrationEntry;

/** Leases, budgets and the migration in one log. */
public class FleetStateMachineTest {
    private static final Incarnation INCARNATION = new Incarnation(1, 5000);

    private static FleetStateMachine stateMachine() {
        return new FleetStateMachine(
                3, 3000, 100, 1000, new StaticShares(Map.of("s", 8), 0.5, 3), Map.of("f", "m"));
    }

    private static void applyEntries(FleetStateMachine machine) {
        machine.apply(3, LeaseTable.renewalEntry(INCARNATION, 10_000, 3000));
        machine.apply(5, new LedgerEntry.CapacityOffer("s", 0, 8, 10_010).encode());
        machine.apply(
                6,
                new LedgerEntry.DemandReport(INCARNATION, 10_020, 5, Map.of(7L, 2), Map.of())
                        .encode());
    }

    @Test
    public void restoresAllPartsFromASnapshot() {
        FleetStateMachine first = stateMachine();
        applyEntries(first);
        FleetStateMachine second = stateMachine();
        second.restore(6, first.snapshot());
        assertEquals(second.snapshot(), first.snapshot());
        assertEquals(second.ledger.serverNumber("s"), 0);
        assertEquals(second.ledger.lastIndex(), 6);
        assertNotNull(second.leases.of(INCARNATION));
        second.apply(7, LeaseTable.renewalEntry(INCARNATION, 12_000, 3000));
        first.apply(7, LeaseTable.renewalEntry(INCARNATION, 12_000, 3000));
        assertEquals(second.snapshot(), first.snapshot());
    }

    @Test
    public void eachPartAppliesOnlyItsOwnEntries() {
        FleetStateMachine machine = stateMachine();
        applyEntries(machine);
        machine.apply(
                7,
                new byte[] {
                    MigrationEntry.MAGIC_BYTE, 99, 1
                }); // each entry of its own gives the migration the log's time
        byte[] migration = machine.migration.snapshot();
        machine.apply(8, new byte[] {MigrationEntry.MAGIC_BYTE, 99, 1});
        assertEquals(
                machine.ledger.unknownEntries(), 0, "the ledger skips entries of the migration");
        assertEquals(machine.ledger.lastIndex(), 6);
        machine.apply(9, new byte[] {120, 1});
        machine.apply(10, new byte[0]);
        assertEquals(machine.ledger.unknownEntries(), 2);
        assertEquals(
                machine.migration.snapshot(),
                migration,
                "unreadable and foreign entries do not change the migration");
        assertTrue(machine.leases.mayAct(INCARNATION));
    }
}
