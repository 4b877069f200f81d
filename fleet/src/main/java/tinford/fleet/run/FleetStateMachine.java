package tinford.fleet.run;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import tinford.fleet.budget.BudgetLedger;
import tinford.fleet.budget.StaticShares;
import tinford.fleet.membership.LeaseTable;
import tinford.fleet.migration.MigrationEntry;
import tinford.fleet.migration.MigrationState;
import tinford.fleet.store.ReplicatedLog;

/**
 * The state machine of the fleet's log: leases, budgets and the migration, each applying its own
 * kinds of entries. A process has two instances, which apply the same entries in the same order:
 * one on the log's thread, for snapshots, and one on the I/O thread, which acts on the state.
 */
final class FleetStateMachine implements ReplicatedLog.StateMachine {
    final LeaseTable leases;
    final BudgetLedger ledger;
    final MigrationState migration;

    /**
     * @param maxClockSkewMs by which clocks of the fleet differ at most
     * @param lingerMs until no connection is open that a stopped process had opened
     * @param homeGroups the group of each frontend that may migrate
     */
    FleetStateMachine(
            int gateways,
            double leaseMs,
            double maxClockSkewMs,
            double lingerMs,
            StaticShares staticShares,
            Map<String, String> homeGroups) {
        leases = new LeaseTable(gateways, leaseMs, maxClockSkewMs, lingerMs);
        ledger = new BudgetLedger(leases, staticShares);
        migration = new MigrationState(homeGroups, leases::possibleHoldersAt, maxClockSkewMs);
    }

    @Override
    public void apply(long index, byte[] entry) {
        if (entry.length > 0 && entry[0] == MigrationEntry.MAGIC_BYTE) {
            migration.observeTime(leases.logTimeMs());
            migration.apply(index, entry);
        } else {
            ledger.apply(index, entry);
        }
    }

    @Override
    public byte[] snapshot() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream output = new DataOutputStream(bytes)) {
            writePart(output, ledger.snapshot());
            writePart(output, migration.snapshot());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void writePart(DataOutputStream output, byte[] part) throws IOException {
        output.writeInt(part.length);
        output.write(part);
    }

    @Override
    public void restore(long index, byte[] snapshot) {
        try (DataInputStream input = new DataInputStream(new ByteArrayInputStream(snapshot))) {
            ledger.restore(index, readPart(input));
            migration.restore(index, readPart(input));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static byte[] readPart(DataInputStream input) throws IOException {
        return input.readNBytes(input.readInt());
    }
}
