package tinford.lab.scale;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import tinford.fleet.budget.BudgetLedger;
import tinford.fleet.budget.LedgerEntry;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.LeaseTable;

/**
 * The first grant that a leader proposes after a cold start, by gateways, with servers in
 * proportion: its bytes against what an entry of the log may have, and its processor time.
 */
final class GrantEntryMeasurement implements Measurement {
    private static final double SERVERS_PER_GATEWAY = 6000.0 / 530;

    /** A wall clock's time, whose digits take their bytes in an entry. */
    private static final double NOW_MS = 1.8e12;

    /** An account's number holds its plan's weight above these bits. */
    private static final int WEIGHT_SHIFT = 40;

    @Override
    public String name() {
        return "log.grant-entry";
    }

    @Override
    public String sizeUnit() {
        return "gateways";
    }

    @Override
    public int[] sizes(boolean full) {
        return full ? new int[] {5, 25, 50, 75, 100, 200, 400, 530} : new int[] {5, 10, 20, 40};
    }

    @Override
    public int repetitions() {
        return 3;
    }

    @Override
    public Growth expected() {
        return Growth.N_LOG_N;
    }

    @Override
    public Sample measure(int gateways, UniformRandomProvider random) {
        BudgetLedger ledger = demand(gateways);
        double processorBefore = ProcessorTime.threadMs();
        double allocatedBefore = ProcessorTime.threadAllocatedBytes();
        byte[] grant = LeaseDeployment.proposer().propose(ledger, NOW_MS);
        double allocated = ProcessorTime.threadAllocatedBytes() - allocatedBefore;
        double processorMs = ProcessorTime.threadMs() - processorBefore;
        double bytes = grant == null ? 0 : grant.length;
        return new Sample(
                Map.of("grant_bytes", bytes),
                Map.of(
                        "grant_bytes_of_bound",
                        bytes / RaftQuorum.BOUNDS.maxEntryBytes(),
                        "propose_ms",
                        processorMs,
                        "propose_allocated_mb",
                        allocated / 1e6));
    }

    /** Each gateway has a lease and one open request for each of its accounts. */
    private static BudgetLedger demand(int gateways) {
        BudgetLedger ledger = LeaseDeployment.ledger(gateways);
        Map<Long, Integer> wanted = new LinkedHashMap<>();
        for (long account = 0; account < LeaseDeployment.ACCOUNTS; account++) {
            wanted.put(1L << WEIGHT_SHIFT | account, 1);
        }
        List<Incarnation> incarnations = LeaseDeployment.incarnations(gateways, (long) NOW_MS);
        long index = 0;
        for (Incarnation incarnation : incarnations) {
            ledger.apply(
                    ++index,
                    LeaseTable.renewalEntry(incarnation, NOW_MS, LeaseDeployment.LEASE_MS));
            ledger.apply(
                    ++index,
                    new LedgerEntry.DemandReport(incarnation, NOW_MS, 0, wanted, Map.of())
                            .encode());
        }
        int servers = (int) Math.ceil(gateways * SERVERS_PER_GATEWAY);
        for (int server = 0; server < Math.min(servers, BudgetLedger.MAX_SERVERS); server++) {
            int offered = LeaseDeployment.CONNECTIONS_OFFERED;
            ledger.apply(
                    ++index,
                    new LedgerEntry.CapacityOffer("server-" + server, 1, offered, NOW_MS).encode());
        }
        return ledger;
    }
}
