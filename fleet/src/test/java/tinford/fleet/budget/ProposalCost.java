package tinford.fleet.budget;

import java.lang.management.ManagementFactory;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.LeaseTable;

/**
 * Prints the processor time of one proposal and of applying its entry, by the number of servers,
 * gateways, accounts and active accounts.
 */
public final class ProposalCost {
    private ProposalCost() {}

    public static void main(String[] args) {
        int[][] sizes = {
            {10, 10, 1000, 50},
            {100, 100, 10_000, 200},
            {400, 100, 10_000, 200},
            {100, 400, 10_000, 200},
            {400, 400, 10_000, 200},
            {400, 400, 10_000, 1000},
            {400, 400, 10_000, 10_000}
        };
        System.out.println(
                "| servers | gateways | accounts | active | first proposal ms | later ms | entry"
                        + " bytes, first, later | apply ms, first, later | snapshot bytes |\n"
                        + "| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (int i = 0; i < 20; i++) {
            measure(sizes[i % 2], false);
        }
        for (int[] size : sizes) {
            measure(size, true);
        }
    }

    /** Processor time of this thread; wall-clock time would include other load on the machine. */
    private static long cpu() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static void measure(int[] size, boolean print) {
        Random random = new Random(1);
        Map<String, Integer> offers = new LinkedHashMap<>();
        for (int server = 0; server < size[0]; server++) {
            offers.put("server-" + server, 100);
        }
        BudgetLedger ledger =
                new BudgetLedger(
                        new LeaseTable(size[1], 1e6, 100, 1000),
                        new StaticShares(offers, 0.1, size[1]));
        long index = 0;
        for (Map.Entry<String, Integer> offer : offers.entrySet()) {
            ledger.apply(
                    ++index,
                    new LedgerEntry.CapacityOffer(offer.getKey(), 1, offer.getValue(), 1).encode());
        }
        double[] results = new double[6];
        for (int round = 0; round < 12; round++) {
            boolean first = round == 0;
            Map<Integer, Map<Long, Integer>> demands = new LinkedHashMap<>();
            for (int i = 0; i < (first ? size[3] : Math.max(1, size[3] / 20)); i++) {
                long account = random.nextInt(size[2]);
                for (int j = 0; j < 4; j++) {
                    demands.computeIfAbsent(
                                    random.nextInt(size[1]), gateway -> new LinkedHashMap<>())
                            .put(
                                    account,
                                    random.nextInt(Math.max(4, 2 * size[0] * 100 / size[3] / 4)));
                }
            }
            for (int gateway = 0; gateway < size[1]; gateway++) {
                Incarnation incarnation = new Incarnation(gateway, 1);
                if (first) {
                    ledger.apply(++index, LeaseTable.renewalEntry(incarnation, 1, 1e6));
                }
                // All connections by which grants were reduced are released.
                Map<Integer, Integer> held = new LinkedHashMap<>();
                GrantTable.Holder holder = ledger.table.holders.get(incarnation);
                if (holder != null) {
                    holder.serverGrants.forEach((server, grant) -> held.put(server, grant.granted));
                }
                ledger.apply(
                        ++index,
                        new LedgerEntry.DemandReport(
                                        incarnation,
                                        2 + round,
                                        index,
                                        demands.getOrDefault(gateway, Map.of()),
                                        held)
                                .encode());
            }
            GrantProposer proposer =
                    new GrantProposer(
                            account -> new GrantProposer.Plan(1 + (int) (account % 4), 1, 1000), 0);
            long startNs = cpu();
            byte[] entry = proposer.propose(ledger, 2 + round);
            long proposedNs = cpu();
            if (entry != null) {
                ledger.apply(++index, entry);
            }
            long appliedNs = cpu();
            results[first ? 0 : 1] += (proposedNs - startNs) / 1e6 / (first ? 1 : 11);
            results[first ? 2 : 3] += (entry == null ? 0.0 : entry.length) / (first ? 1 : 11);
            results[first ? 4 : 5] += (appliedNs - proposedNs) / 1e6 / (first ? 1 : 11);
        }
        if (print) {
            System.out.printf(
                    "| %d | %d | %d | %d | %.1f | %.1f | %.0f, %.0f | %.1f, %.1f | %d |%n",
                    size[0],
                    size[1],
                    size[2],
                    size[3],
                    results[0],
                    results[1],
                    results[2],
                    results[3],
                    results[4],
                    results[5],
                    ledger.snapshot().length);
        }
    }
}
