package tinford.fleet.budget;

import java.lang.management.ManagementFactory;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.LeaseTable;

/**
 * Prints what one proposal and its entry cost in processor time as servers, gateways, accounts and
 * those awake grow.
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
                "| servers | gateways | accounts | awake | first proposal ms | later ms | entry"
                        + " bytes, first, later | apply ms, first, later | snapshot bytes |\n"
                        + "| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (int i = 0; i < 20; i++) {
            measure(sizes[i % 2], false);
        }
        for (int[] size : sizes) {
            measure(size, true);
        }
    }

    /** Processor time, as the wall clock tells of what else runs. */
    private static long cpu() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static void measure(int[] size, boolean print) {
        Random random = new Random(1);
        Map<String, Integer> offers = new LinkedHashMap<>();
        for (int s = 0; s < size[0]; s++) {
            offers.put("server-" + s, 100);
        }
        BudgetLedger ledger =
                new BudgetLedger(
                        new LeaseTable(size[1], 1e6, 100, 1000),
                        new StaticShares(offers, 0.1, size[1]));
        long index = 0;
        for (Map.Entry<String, Integer> e : offers.entrySet()) {
            ledger.apply(
                    ++index,
                    new LedgerEntry.CapacityOffer(e.getKey(), 1, e.getValue(), 1).encode());
        }
        double[] took = new double[6];
        for (int round = 0; round < 12; round++) {
            boolean first = round == 0;
            Map<Integer, Map<Long, Integer>> wanted = new LinkedHashMap<>();
            for (int a = 0; a < (first ? size[3] : Math.max(1, size[3] / 20)); a++) {
                long account = random.nextInt(size[2]);
                for (int k = 0; k < 4; k++) {
                    wanted.computeIfAbsent(random.nextInt(size[1]), g -> new LinkedHashMap<>())
                            .put(
                                    account,
                                    random.nextInt(Math.max(4, 2 * size[0] * 100 / size[3] / 4)));
                }
            }
            for (int g = 0; g < size[1]; g++) {
                Incarnation incarnation = new Incarnation(g, 1);
                if (first) {
                    ledger.apply(++index, LeaseTable.renewalEntry(incarnation, 1, 1e6));
                }
                // All that was taken back is let go.
                Map<Integer, Integer> held = new LinkedHashMap<>();
                GrantTable.Holder h = ledger.table.holders.get(incarnation);
                if (h != null) {
                    h.serverGrants.forEach((s, c) -> held.put(s, c.granted));
                }
                ledger.apply(
                        ++index,
                        new LedgerEntry.DemandReport(
                                        incarnation,
                                        2 + round,
                                        index,
                                        wanted.getOrDefault(g, Map.of()),
                                        held)
                                .encode());
            }
            GrantProposer proposer =
                    new GrantProposer(a -> new GrantProposer.Plan(1 + (int) (a % 4), 1, 1000), 0);
            long t = cpu();
            byte[] entry = proposer.propose(ledger, 2 + round);
            long u = cpu();
            if (entry != null) {
                ledger.apply(++index, entry);
            }
            long v = cpu();
            took[first ? 0 : 1] += (u - t) / 1e6 / (first ? 1 : 11);
            took[first ? 2 : 3] += (entry == null ? 0.0 : entry.length) / (first ? 1 : 11);
            took[first ? 4 : 5] += (v - u) / 1e6 / (first ? 1 : 11);
        }
        if (print) {
            System.out.printf(
                    "| %d | %d | %d | %d | %.1f | %.1f | %.0f, %.0f | %.1f, %.1f | %d |%n",
                    size[0],
                    size[1],
                    size[2],
                    size[3],
                    took[0],
                    took[1],
                    took[2],
                    took[3],
                    took[4],
                    took[5],
                    ledger.snapshot().length);
        }
    }
}
