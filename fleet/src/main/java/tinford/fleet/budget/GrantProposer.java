package tinford.fleet.budget;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongFunction;
import tinford.fleet.membership.Incarnation;

/**
 * Computes the grants that the leader proposes, by a new allocation from its state of the ledger. A
 * wrong or outdated proposal does no harm, as the ledger checks each one.
 */
public final class GrantProposer {
    /**
     * The part of an account's plan that determines its allocation.
     *
     * @param minimumShare connections that the account gets before others are served by weight
     * @param cap the most attempts that it may have in flight
     */
    public record Plan(int weight, int minimumShare, int cap) {}

    /** The most lines for servers in one entry; further ones follow with the next proposal. */
    public static final int MAX_LINES = 20_000;

    private final LongFunction<Plan> plans;
    private final double intervalMs;
    private double nextProposalMs;

    /**
     * @param plans by account; null for an unknown account, which gets no connections
     * @param intervalMs minimum time between two proposals
     */
    public GrantProposer(LongFunction<Plan> plans, double intervalMs) {
        this.plans = plans;
        this.intervalMs = intervalMs;
    }

    /**
     * Returns the entry to append, or null if no grant has to change or the interval has not
     * passed.
     *
     * @param nowMs by the leader's clock
     */
    public byte[] propose(BudgetLedger ledger, double nowMs) {
        if (nowMs < nextProposalMs) {
            return null;
        }
        List<Incarnation> incarnations = ledger.eligibleIncarnations();
        if (incarnations.isEmpty() || ledger.table.servers.isEmpty()) {
            return null;
        }
        LedgerAllocation allocation = new LedgerAllocation(ledger, incarnations);
        List<LedgerEntry.GrantLine> serverLines = allocation.serverLines();
        List<LedgerEntry.GrantLine> accountLines = allocation.accountLines();
        if (serverLines.isEmpty() && accountLines.isEmpty()) {
            return null;
        }
        nextProposalMs = nowMs + intervalMs;
        return new LedgerEntry.Grant(
                        ledger.lastIndex(),
                        nowMs,
                        serverLines.subList(0, Math.min(MAX_LINES, serverLines.size())),
                        accountLines)
                .encode();
    }

    /** Demand and previous grant of an account at one gateway. */
    private static final class AccountUse {
        int demand;
        int granted;
    }

    /**
     * An allocation, with a row for each incarnation and a column for each server of the ledger.
     */
    private final class LedgerAllocation {
        private final List<Incarnation> incarnations;
        private final int[] pool;
        private final int[] staticConnections;
        private final int[][] granted;
        private final int[][] maxHeld;
        private final List<BudgetAllocation.Account> accounts = new ArrayList<>();
        private final BudgetAllocation allocation;

        LedgerAllocation(BudgetLedger ledger, List<Incarnation> incarnations) {
            this.incarnations = incarnations;
            int rows = incarnations.size();
            int columns = ledger.table.servers.size();
            pool = new int[columns];
            staticConnections = new int[rows];
            granted = new int[rows][columns];
            maxHeld = new int[rows][columns];
            for (int column = 0; column < columns; column++) {
                pool[column] = ledger.grantable(column) - ledger.maxHeld(column);
            }
            TreeMap<Long, TreeMap<Integer, AccountUse>> uses = new TreeMap<>();
            for (int row = 0; row < rows; row++) {
                staticConnections[row] = staticConnections(ledger, incarnations.get(row));
                GrantTable.Holder holder = ledger.table.holders.get(incarnations.get(row));
                readServerGrants(holder, row);
                readAccountUses(holder, row, uses);
            }
            uses.forEach((id, usesByRow) -> accounts.add(account(id, usesByRow)));
            allocation = new BudgetAllocation(pool, staticConnections, granted, maxHeld, accounts);
        }

        private int staticConnections(BudgetLedger ledger, Incarnation incarnation) {
            int sum = 0;
            for (GrantTable.Server server : ledger.table.servers) {
                if (server.capacity != 0) {
                    sum += ledger.staticShares.of(server.name, incarnation.gateway());
                }
            }
            return sum;
        }

        /** Adds what the row may hold to the pool, as this is allocated again. */
        private void readServerGrants(GrantTable.Holder holder, int row) {
            holder.serverGrants.forEach(
                    (column, grant) -> {
                        granted[row][column] = grant.granted;
                        maxHeld[row][column] = grant.maxHeld;
                        pool[column] += grant.maxHeld;
                    });
        }

        private static void readAccountUses(
                GrantTable.Holder holder,
                int row,
                TreeMap<Long, TreeMap<Integer, AccountUse>> uses) {
            holder.accountGrants.forEach(
                    (account, count) -> use(uses, account, row).granted = count);
            holder.demands.forEach((account, count) -> use(uses, account, row).demand = count);
        }

        private static AccountUse use(
                TreeMap<Long, TreeMap<Integer, AccountUse>> uses, long account, int row) {
            return uses.computeIfAbsent(account, key -> new TreeMap<>())
                    .computeIfAbsent(row, key -> new AccountUse());
        }

        private BudgetAllocation.Account account(long id, Map<Integer, AccountUse> usesByRow) {
            Plan plan = plans.apply(id);
            int[] rows = new int[usesByRow.size()];
            int[] demands = new int[rows.length];
            int[] previous = new int[rows.length];
            int index = 0;
            for (Map.Entry<Integer, AccountUse> use : usesByRow.entrySet()) {
                rows[index] = use.getKey();
                demands[index] = plan == null ? 0 : use.getValue().demand;
                previous[index++] = use.getValue().granted;
            }
            return plan == null
                    ? new BudgetAllocation.Account(id, 1, 0, 0, rows, demands, previous)
                    : new BudgetAllocation.Account(
                            id,
                            plan.weight(),
                            plan.minimumShare(),
                            plan.cap(),
                            rows,
                            demands,
                            previous);
        }

        /** The changed grants at servers, reduced ones first. */
        List<LedgerEntry.GrantLine> serverLines() {
            List<LedgerEntry.GrantLine> reduced = new ArrayList<>();
            List<LedgerEntry.GrantLine> raised = new ArrayList<>();
            for (int row = 0; row < granted.length; row++) {
                for (int column = 0; column < pool.length; column++) {
                    int next = allocation.possibleGrants[row][column];
                    if (next != granted[row][column]) {
                        (next < granted[row][column] ? reduced : raised)
                                .add(
                                        new LedgerEntry.GrantLine(
                                                incarnations.get(row), column, next));
                    }
                }
            }
            reduced.addAll(raised);
            return reduced;
        }

        List<LedgerEntry.GrantLine> accountLines() {
            List<LedgerEntry.GrantLine> lines = new ArrayList<>();
            for (BudgetAllocation.Account account : accounts) {
                for (int i = 0; i < account.rows.length; i++) {
                    if (account.allocated[i] != account.previous[i]) {
                        Incarnation incarnation = incarnations.get(account.rows[i]);
                        lines.add(
                                new LedgerEntry.GrantLine(
                                        incarnation, account.id, account.allocated[i]));
                    }
                }
            }
            return lines;
        }
    }
}
