package tinford.fleet.budget;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongFunction;
import tinford.fleet.membership.Incarnation;

/**
 * What whoever leads proposes: the ledger as it knows it, divided anew. Wrong or stale proposals
 * harm nothing, the ledger checks.
 */
public final class GrantProposer {
    /** An account's terms in the division, by its plan. */
    public record Plan(int weight, int floor, int cap) {}

    /** Lines at servers in one entry; what is left goes into the next. */
    public static final int MAX_LINES = 20_000;

    private final LongFunction<Plan> plans;
    private final double every;
    private double next;

    /**
     * @param plans by account; null for one that is not known, which then gets nothing
     * @param every no two proposals come closer than this, ms
     */
    public GrantProposer(LongFunction<Plan> plans, double every) {
        this.plans = plans;
        this.every = every;
    }

    /**
     * Called by whoever leads, with its own time; the entry to append, or null where nothing is to
     * change or it is too soon.
     */
    public byte[] propose(BudgetLedger ledger, double now) {
        if (now < next) {
            return null;
        }
        List<Incarnation> incarnations = ledger.givable();
        int columns = ledger.table.servers.size();
        int rows = incarnations.size();
        if (rows == 0 || columns == 0) {
            return null;
        }
        int[] pool = new int[columns];
        int[] own = new int[rows];
        int[][] granted = new int[rows][columns];
        int[][] may = new int[rows][columns];
        for (int s = 0; s < columns; s++) {
            pool[s] = ledger.pool(s) - ledger.held(s);
        }
        TreeMap<Long, TreeMap<Integer, int[]>> wanted = new TreeMap<>();
        for (int g = 0; g < rows; g++) {
            int row = g;
            GrantTable.Holder h = ledger.table.holders.get(incarnations.get(g));
            for (int s = 0; s < columns; s++) {
                own[g] +=
                        ledger.table.servers.get(s).offer == 0
                                ? 0
                                : ledger.staticShares.of(
                                        ledger.table.servers.get(s).name,
                                        incarnations.get(g).gateway());
            }
            h.cells.forEach(
                    (s, c) -> {
                        granted[row][s] = c.granted;
                        may[row][s] = c.may;
                        pool[s] += c.may;
                    });
            h.uses.forEach((a, n) -> pair(wanted, a, row)[1] = n);
            h.asked.forEach((a, n) -> pair(wanted, a, row)[0] = n);
        }
        List<BudgetAllocation.Account> accounts = new ArrayList<>();
        wanted.forEach((id, at) -> accounts.add(account(id, at)));
        BudgetAllocation d = new BudgetAllocation(pool, own, granted, may, accounts);
        List<LedgerEntry.GrantLine> less = new ArrayList<>();
        List<LedgerEntry.GrantLine> more = new ArrayList<>();
        for (int g = 0; g < rows; g++) {
            for (int s = 0; s < columns; s++) {
                if (d.now[g][s] != granted[g][s]) {
                    (d.now[g][s] < granted[g][s] ? less : more)
                            .add(new LedgerEntry.GrantLine(incarnations.get(g), s, d.now[g][s]));
                }
            }
        }
        less.addAll(more);
        List<LedgerEntry.GrantLine> uses = new ArrayList<>();
        for (BudgetAllocation.Account a : accounts) {
            for (int k = 0; k < a.rows.length; k++) {
                if (a.given[k] != a.before[k]) {
                    uses.add(
                            new LedgerEntry.GrantLine(
                                    incarnations.get(a.rows[k]), a.id, a.given[k]));
                }
            }
        }
        if (less.isEmpty() && uses.isEmpty()) {
            return null;
        }
        next = now + every;
        return new LedgerEntry.Grant(
                        ledger.lastIndex(),
                        now,
                        less.subList(0, Math.min(MAX_LINES, less.size())),
                        uses)
                .encode();
    }

    private static int[] pair(
            TreeMap<Long, TreeMap<Integer, int[]>> wanted, long account, int row) {
        return wanted.computeIfAbsent(account, k -> new TreeMap<>())
                .computeIfAbsent(row, k -> new int[2]);
    }

    private BudgetAllocation.Account account(long id, Map<Integer, int[]> at) {
        Plan plan = plans.apply(id);
        int[] rows = new int[at.size()];
        int[] wanted = new int[rows.length];
        int[] before = new int[rows.length];
        int k = 0;
        for (Map.Entry<Integer, int[]> e : at.entrySet()) {
            rows[k] = e.getKey();
            wanted[k] = plan == null ? 0 : e.getValue()[0];
            before[k++] = e.getValue()[1];
        }
        return plan == null
                ? new BudgetAllocation.Account(id, 1, 0, 0, rows, wanted, before)
                : new BudgetAllocation.Account(
                        id, plan.weight(), plan.floor(), plan.cap(), rows, wanted, before);
    }
}
