package tinford.lab.scale;

import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import tinford.fleet.budget.BudgetLedger;
import tinford.fleet.budget.LedgerEntry;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.LeaseTable;

/** The ledger by the number of servers that are offered to it: how many it takes, and its size. */
final class BudgetedServersMeasurement implements Measurement {
    private static final int GATEWAYS = 5;
    private static final double NOW_MS = 1.8e12;

    @Override
    public String name() {
        return "log.servers";
    }

    @Override
    public String sizeUnit() {
        return "servers";
    }

    @Override
    public int[] sizes(boolean full) {
        return full ? new int[] {60, 300, 1500, 4096, 6000} : new int[] {16, 64, 256, 1024};
    }

    @Override
    public int repetitions() {
        return 3;
    }

    @Override
    public Growth expected() {
        return Growth.LINEAR;
    }

    @Override
    public Sample measure(int servers, UniformRandomProvider random) {
        BudgetLedger ledger = LeaseDeployment.ledger(GATEWAYS);
        long index = 0;
        for (Incarnation incarnation : LeaseDeployment.incarnations(GATEWAYS, (long) NOW_MS)) {
            ledger.apply(
                    ++index,
                    LeaseTable.renewalEntry(incarnation, NOW_MS, LeaseDeployment.LEASE_MS));
        }
        long started = System.nanoTime();
        for (int server = 0; server < servers; server++) {
            String id = "10." + server / 65536 + "." + server / 256 % 256 + "." + server % 256;
            int offered = LeaseDeployment.CONNECTIONS_OFFERED;
            ledger.apply(
                    ++index,
                    new LedgerEntry.CapacityOffer(id + ":8080", 1, offered, NOW_MS).encode());
        }
        double offersMs = (System.nanoTime() - started) / 1e6;
        double taken = servers - ledger.staleEntries();
        return new Sample(
                Map.of("servers_taken", taken, "snapshot_bytes", (double) ledger.snapshot().length),
                Map.of("offer_us", 1000 * offersMs / servers, "share_taken", taken / servers));
    }
}
