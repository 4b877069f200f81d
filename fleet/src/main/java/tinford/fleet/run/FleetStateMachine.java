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
 * The state machine that reads the log: leases, budgets and moves, each taking its own entries. A
 * process has it twice: on the log's thread for snapshots, and on the I/O thread, where it is acted
 * on; both see the same entries in the same order.
 */
final class FleetStateMachine implements ReplicatedLog.StateMachine {
    final LeaseTable leases;
    final BudgetLedger ledger;
    final MigrationState moves;

    /**
     * @param homes the group of each frontend that may move
     */
    FleetStateMachine(
            int gateways,
            double leaseMs,
            double apart,
            double linger,
            StaticShares staticShares,
            Map<String, String> homes) {
        leases = new LeaseTable(gateways, leaseMs, apart, linger);
        ledger = new BudgetLedger(leases, staticShares);
        moves = new MigrationState(homes, leases::notSurelyOver, apart);
    }

    @Override
    public void apply(long index, byte[] entry) {
        if (entry.length > 0 && entry[0] == MigrationEntry.MARK) {
            moves.seen(leases.now());
            moves.apply(index, entry);
        } else {
            ledger.apply(index, entry);
        }
    }

    @Override
    public byte[] snapshot() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            DataOutputStream out = new DataOutputStream(bytes);
            for (byte[] part : new byte[][] {ledger.snapshot(), moves.snapshot()}) {
                out.writeInt(part.length);
                out.write(part);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    @Override
    public void restore(long index, byte[] snapshot) {
        try {
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(snapshot));
            ledger.restore(index, in.readNBytes(in.readInt()));
            moves.restore(index, in.readNBytes(in.readInt()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
