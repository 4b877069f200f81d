package tinford.fleet.budget;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Allocates the connections of a pool of servers: how many connections each gateway may hold at
 * each server, and how many attempts each account may have in flight through each gateway. Accounts
 * share the usable connections by weighted max-min fairness; the previous allocation is kept where
 * possible. Matrices have a row for each gateway and a column for each server. A gateway's static
 * connections serve its own accounts first; connections that these leave unused serve other demand
 * at the same gateway.
 */
public final class BudgetAllocation {
    /** An account with its demand and its previous allocation at each of its gateways. */
    public static final class Account {
        public final long id;
        final int weight;
        final int minimumShare;
        final int cap;
        final int[] rows;
        final int[] demands;
        final int[] previous;

        /** The result, in the order of {@code rows}. */
        public int[] allocated;

        /**
         * @param rows of the gateways at which the account has demand or had an allocation; the
         *     demands and previous allocations are in the same order
         */
        public Account(
                long id,
                int weight,
                int minimumShare,
                int cap,
                int[] rows,
                int[] demands,
                int[] previous) {
            this.id = id;
            this.weight = weight;
            this.minimumShare = minimumShare;
            this.cap = cap;
            this.rows = rows;
            this.demands = demands;
            this.previous = previous;
        }

        long totalDemand() {
            return Arrays.stream(demands).asLongStream().sum();
        }

        private long totalAllocated() {
            return Arrays.stream(allocated).asLongStream().sum();
        }
    }

    /** An account at one of its gateways. */
    private record AccountAtGateway(Account account, int index) {
        int unmetDemand() {
            return account.demands[index] - account.allocated[index];
        }
    }

    /**
     * An account's previous allocation at a gateway is kept while it differs from the one in
     * proportion to demand by no more than this share of the latter plus one connection.
     */
    private static final double MAX_KEPT_DEVIATION = 0.25;

    private static final int MAX_PASSES = 64;

    /** The grants to reach once all gateways have released what they hold beyond them. */
    public final int[][] targetGrants;

    /** The grants that are possible now: in a column no more than is free is added. */
    public final int[][] possibleGrants;

    private final int rows;
    private final int columns;

    /**
     * @param pool by column: the capacity less the static part, and less what gateways outside
     *     these rows may hold
     * @param staticConnections by row
     * @param granted the previous grants
     * @param maxHeld the connections that may still be held, at least those granted
     */
    public BudgetAllocation(
            int[] pool,
            int[] staticConnections,
            int[][] granted,
            int[][] maxHeld,
            List<Account> accounts) {
        rows = staticConnections.length;
        columns = pool.length;
        int[] capacity = new int[columns];
        long totalCapacity = 0;
        for (int column = 0; column < columns; column++) {
            capacity[column] = Math.max(0, pool[column]);
            totalCapacity += capacity[column];
        }
        int[] needs = allocateAccounts(totalCapacity, staticConnections, accounts);
        targetGrants = new int[rows][];
        for (int row = 0; row < rows; row++) {
            targetGrants[row] = granted[row].clone();
        }
        new Placement(capacity, needs).place();
        possibleGrants = possibleGrants(pool, granted, maxHeld);
    }

    /**
     * Allocates connections to each account; returns, by row, how many connections the gateway
     * needs beyond its static ones.
     */
    private int[] allocateAccounts(long pool, int[] staticConnections, List<Account> accounts) {
        long[] demand = new long[rows];
        for (Account account : accounts) {
            for (int i = 0; i < account.rows.length; i++) {
                demand[account.rows[i]] += account.demands[i];
            }
        }
        long[] allocated = new long[rows];
        long usable = usableConnections(pool, staticConnections, demand);
        // Static connections that a gateway can't use don't serve accounts at other gateways: the
        // total is reduced until the allocation fits.
        for (int pass = 0; pass < MAX_PASSES; pass++) {
            divideAmongAccounts(usable, accounts, allocated);
            long fits = usableConnections(pool, staticConnections, allocated);
            if (fits >= usable) {
                break;
            }
            usable = fits;
        }
        allocateUnusedStaticConnections(staticConnections, allocated, accounts);
        int[] needs = new int[rows];
        for (int row = 0; row < rows; row++) {
            needs[row] = (int) Math.max(0, allocated[row] - staticConnections[row]);
        }
        return needs;
    }

    /** The size of the pool plus the static connections that the given use, by row, takes up. */
    private static long usableConnections(long pool, int[] staticConnections, long[] use) {
        long usable = pool;
        for (int row = 0; row < use.length; row++) {
            usable += Math.min(staticConnections[row], use[row]);
        }
        return usable;
    }

    private static void divideAmongAccounts(
            long total, List<Account> accounts, long[] allocatedByRow) {
        int size = accounts.size();
        int[] weights = new int[size];
        int[] minimumShares = new int[size];
        int[] caps = new int[size];
        for (int i = 0; i < size; i++) {
            Account account = accounts.get(i);
            weights[i] = account.weight;
            minimumShares[i] = account.minimumShare;
            caps[i] = (int) Math.min(account.cap, account.totalDemand());
        }
        int[] shares = MaxMinFairness.divide(total, weights, minimumShares, caps);
        Arrays.fill(allocatedByRow, 0);
        for (int i = 0; i < size; i++) {
            Account account = accounts.get(i);
            splitByGateway(account, shares[i]);
            for (int k = 0; k < account.rows.length; k++) {
                allocatedByRow[account.rows[k]] += account.allocated[k];
            }
        }
    }

    /** Splits an account's share among its gateways by demand, close to the previous split. */
    private static void splitByGateway(Account account, int share) {
        int size = account.rows.length;
        // If there is one connection for each gateway, no gateway with demand is left without.
        int min = share >= size ? 1 : 0;
        long totalDemand = account.totalDemand();
        account.allocated = new int[size];
        int sum = 0;
        for (int i = 0; i < size; i++) {
            double proportional =
                    totalDemand == 0 ? 0 : share * (double) account.demands[i] / totalDemand;
            account.allocated[i] = closestToPrevious(account, i, proportional, min);
            sum += account.allocated[i];
        }
        while (sum != share) {
            int changed = adjustOnce(account, share, sum, min);
            if (changed == 0) {
                return;
            }
            sum += changed;
        }
    }

    private static int closestToPrevious(Account account, int index, double proportional, int min) {
        int demand = account.demands[index];
        int low = (int) Math.max(min, Math.ceil(proportional * (1 - MAX_KEPT_DEVIATION) - 1));
        int high = (int) Math.min(demand, Math.floor(proportional * (1 + MAX_KEPT_DEVIATION) + 1));
        int upper = Math.min(Math.max(high, 1), demand);
        return Math.max(Math.min(low, demand), Math.min(upper, account.previous[index]));
    }

    /**
     * Adds one to, or takes one from, each of the gateways that deviate most from the split in
     * proportion to demand, as many as needed.
     *
     * @return the change of the sum; 0 if no gateway can change
     */
    private static int adjustOnce(Account account, int share, int sum, int min) {
        int sign = sum < share ? 1 : -1;
        List<Integer> candidates = new ArrayList<>();
        for (int i = 0; i < account.rows.length; i++) {
            boolean canChange =
                    sign > 0
                            ? account.allocated[i] < account.demands[i]
                            : account.allocated[i] > min;
            if (canChange) {
                candidates.add(i);
            }
        }
        double scale = share / (double) Math.max(1, account.totalDemand());
        candidates.sort(
                Comparator.<Integer>comparingDouble(
                                i -> sign * (account.allocated[i] - scale * account.demands[i]))
                        .thenComparing(Comparator.naturalOrder()));
        int count = Math.min(candidates.size(), Math.abs(share - sum));
        for (int i : candidates.subList(0, count)) {
            account.allocated[i] += sign;
        }
        return sign * count;
    }

    /** Allocates static connections that are left at a gateway to unmet demand there. */
    private void allocateUnusedStaticConnections(
            int[] staticConnections, long[] allocatedByRow, List<Account> accounts) {
        List<List<AccountAtGateway>> unmetByRow = new ArrayList<>();
        for (int row = 0; row < rows; row++) {
            unmetByRow.add(new ArrayList<>());
        }
        for (Account account : accounts) {
            for (int i = 0; i < account.rows.length; i++) {
                AccountAtGateway entry = new AccountAtGateway(account, i);
                if (entry.unmetDemand() > 0) {
                    unmetByRow.get(account.rows[i]).add(entry);
                }
            }
        }
        for (int row = 0; row < rows; row++) {
            long unused = staticConnections[row] - allocatedByRow[row];
            if (unused > 0 && !unmetByRow.get(row).isEmpty()) {
                allocatedByRow[row] += divideUnused(unused, unmetByRow.get(row));
            }
        }
    }

    /** Returns how many connections were allocated. */
    private static long divideUnused(long unused, List<AccountAtGateway> unmet) {
        int[] weights = new int[unmet.size()];
        int[] caps = new int[unmet.size()];
        for (int i = 0; i < weights.length; i++) {
            Account account = unmet.get(i).account;
            weights[i] = account.weight;
            long belowCap = account.cap - account.totalAllocated();
            caps[i] = (int) Math.min(unmet.get(i).unmetDemand(), belowCap);
        }
        int[] additional = MaxMinFairness.divide(unused, weights, new int[weights.length], caps);
        long allocated = 0;
        for (int i = 0; i < additional.length; i++) {
            AccountAtGateway entry = unmet.get(i);
            entry.account.allocated[entry.index] += additional[i];
            allocated += additional[i];
        }
        return allocated;
    }

    /**
     * Changes the target until no row exceeds its need, no column exceeds its capacity, and rows
     * meet their needs as far as capacity allows; the rest of the target is kept.
     */
    private final class Placement {
        private final int[] capacity;
        private final int[] needs;
        private final int[] usedByColumn = new int[columns];
        private final int[] usedByRow = new int[rows];

        Placement(int[] capacity, int[] needs) {
            this.capacity = capacity;
            this.needs = needs;
            for (int row = 0; row < rows; row++) {
                for (int column = 0; column < columns; column++) {
                    usedByColumn[column] += targetGrants[row][column];
                    usedByRow[row] += targetGrants[row][column];
                }
            }
        }

        void place() {
            for (int row = 0; row < rows; row++) {
                while (usedByRow[row] > needs[row]) {
                    change(row, columnToReduce(row), -1);
                }
            }
            for (int column = 0; column < columns; column++) {
                while (usedByColumn[column] > capacity[column]) {
                    change(rowToReduce(column), column, -1);
                }
            }
            for (int row = 0; row < rows; row++) {
                fill(row);
            }
        }

        private void change(int row, int column, int by) {
            targetGrants[row][column] += by;
            usedByColumn[column] += by;
            usedByRow[row] += by;
        }

        /**
         * The column that exceeds its capacity most; among equals the one in which the row has most
         * connections.
         */
        private int columnToReduce(int row) {
            int best = -1;
            for (int column = 0; column < columns; column++) {
                if (targetGrants[row][column] > 0
                        && (best < 0 || isBetterToReduce(row, column, best))) {
                    best = column;
                }
            }
            return best;
        }

        private boolean isBetterToReduce(int row, int column, int other) {
            int order = Integer.compare(excess(column), excess(other));
            return order > 0 || order == 0 && targetGrants[row][column] > targetGrants[row][other];
        }

        private int excess(int column) {
            return Math.max(0, usedByColumn[column] - capacity[column]);
        }

        private int rowToReduce(int column) {
            int best = 0;
            for (int row = 1; row < rows; row++) {
                if (targetGrants[row][column] > targetGrants[best][column]) {
                    best = row;
                }
            }
            return best;
        }

        /**
         * Adds one connection at a time in each column with free capacity in turn. Rows start at
         * different columns, so that their connections spread over the servers.
         */
        private void fill(int row) {
            int missing = needs[row] - usedByRow[row];
            int start = (int) ((long) row * columns / Math.max(1, rows));
            boolean changed = true;
            while (changed && missing > 0) {
                changed = false;
                for (int i = 0; i < columns && missing > 0; i++) {
                    int column = (start + i) % columns;
                    if (usedByColumn[column] < capacity[column]) {
                        change(row, column, 1);
                        missing--;
                        changed = true;
                    }
                }
            }
        }
    }

    private int[][] possibleGrants(int[] pool, int[][] granted, int[][] maxHeld) {
        int[][] grants = new int[rows][columns];
        for (int column = 0; column < columns; column++) {
            long free = pool[column];
            for (int row = 0; row < rows; row++) {
                free -= Math.max(maxHeld[row][column], granted[row][column]);
            }
            for (int i = 0; i < rows; i++) {
                int row = (column + i) % rows;
                int held = Math.max(maxHeld[row][column], granted[row][column]);
                int additional =
                        (int) Math.max(0, Math.min(targetGrants[row][column] - held, free));
                free -= additional;
                grants[row][column] = Math.min(targetGrants[row][column], held + additional);
            }
        }
        return grants;
    }
}
