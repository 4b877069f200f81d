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

/** Leases, budgets and moves in one log. */
public class FleetStateMachineTest {
    private static final Incarnation INCARNATION = new Incarnation(1, 5000);

    private static FleetStateMachine stateMachine() {
        return new FleetStateMachine(
                3, 3000, 100, 1000, new StaticShares(Map.of("s", 8), 0.5, 3), Map.of("f", "m"));
    }

    private static void fill(FleetStateMachine to) {
        to.apply(3, LeaseTable.renewalEntry(INCARNATION, 10_000, 3000));
        to.apply(5, new LedgerEntry.CapacityOffer("s", 0, 8, 10_010).encode());
        to.apply(
                6,
                new LedgerEntry.DemandReport(INCARNATION, 10_020, 5, Map.of(7L, 2), Map.of())
                        .encode());
    }

    @Test
    public void aSnapshotHoldsAll() {
        FleetStateMachine first = stateMachine();
        fill(first);
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
    public void eachPartHasItsOwnEntries() {
        FleetStateMachine all = stateMachine();
        fill(all);
        all.apply(
                7,
                new byte[] {
                    MigrationEntry.MARK, 99, 1
                }); // from each of their own entries on moves have the log's time
        byte[] moves = all.migration.snapshot();
        all.apply(8, new byte[] {MigrationEntry.MARK, 99, 1});
        assertEquals(all.ledger.unknownEntries(), 0, "what belongs to moves is not the ledger's");
        assertEquals(all.ledger.lastIndex(), 6);
        all.apply(9, new byte[] {120, 1});
        all.apply(10, new byte[0]);
        assertEquals(all.ledger.unknownEntries(), 2);
        assertEquals(
                all.migration.snapshot(),
                moves,
                "what moves can't read, and what others have, changes nothing there");
        assertTrue(all.leases.mayAct(INCARNATION));
    }
}
