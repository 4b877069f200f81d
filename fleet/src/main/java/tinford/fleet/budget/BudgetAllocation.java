package tinford.fleet.budget;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * One pool divided: how many connections each gateway may hold at each server, and how many
 * dispatches each account may have out through each gateway. Accounts' parts are the weighted
 * max-min of all that can be used; the previous division is kept where it may be. Rows are
 * gateways, columns servers. What a gateway has of its own (static) serves its own accounts first;
 * where they don't use their part of it, others' demand there does.
 */
public final class BudgetAllocation {
    /** An account that asks: what it wants, and had before, at each of {@code rows}. */
    public static final class Account {
        public final long id;
        final int weight;
        final int floor;
        final int cap;
        final int[] rows;
        final int[] wanted;
        final int[] before;

        /** The outcome, by {@code rows}. */
        public int[] given;

        public Account(
                long id, int weight, int floor, int cap, int[] rows, int[] wanted, int[] before) {
            this.id = id;
            this.weight = weight;
            this.floor = floor;
            this.cap = cap;
            this.rows = rows;
            this.wanted = wanted;
            this.before = before;
        }

        long wants() {
            long sum = 0;
            for (int w : wanted) {
                sum += w;
            }
            return sum;
        }
    }

    /**
     * A part of an account at a gateway is left as it was while it is off the even part by no more
     * than this part of it, and one.
     */
    private static final double KEPT = 0.25;

    private static final int PASSES = 64;

    /** What is aimed at, once all have let go. */
    public final int[][] aim;

    /** What may be granted now: no more at a column than is free. */
    public final int[][] now;

    private final int rows;
    private final int columns;

    /**
     * @param pool by column: the offer less the static part and less what gateways outside these
     *     rows may hold
     * @param own by row: connections that it has for good
     * @param granted the previous division
     * @param may what may be held, at least what is granted
     */
    public BudgetAllocation(
            int[] pool, int[] own, int[][] granted, int[][] may, List<Account> accounts) {
        rows = own.length;
        columns = pool.length;
        int[] capacity = new int[columns];
        long sum = 0;
        for (int s = 0; s < columns; s++) {
            capacity[s] = Math.max(0, pool[s]);
            sum += capacity[s];
        }
        int[] needs = share(sum, own, accounts);
        aim = new int[rows][];
        for (int g = 0; g < rows; g++) {
            aim[g] = granted[g].clone();
        }
        place(capacity, needs);
        now = step(pool, granted, may);
    }

    /** Gives each account its part at each gateway; returns what gateways need beyond their own. */
    private int[] share(long pool, int[] own, List<Account> accounts) {
        int n = accounts.size();
        int[] weight = new int[n];
        int[] floor = new int[n];
        int[] most = new int[n];
        long[] wanted = new long[rows];
        for (int i = 0; i < n; i++) {
            Account a = accounts.get(i);
            weight[i] = a.weight;
            floor[i] = a.floor;
            most[i] = (int) Math.min(a.cap, a.wants());
            for (int k = 0; k < a.rows.length; k++) {
                wanted[a.rows[k]] += a.wanted[k];
            }
        }
        long total = pool;
        for (int g = 0; g < rows; g++) {
            total += Math.min(own[g], wanted[g]);
        }
        long[] need = new long[rows];
        // What is a gateway's own and unused by these parts can't serve accounts elsewhere: the
        // total falls until it holds.
        for (int pass = 0; pass < PASSES; pass++) {
            int[] part = MaxMinFairness.divide(total, weight, floor, most);
            Arrays.fill(need, 0);
            for (int i = 0; i < n; i++) {
                split(accounts.get(i), part[i], need);
            }
            long can = pool;
            for (int g = 0; g < rows; g++) {
                can += Math.min(own[g], need[g]);
            }
            if (can >= total) {
                break;
            }
            total = can;
        }
        fillOwn(own, need, accounts);
        int[] needs = new int[rows];
        for (int g = 0; g < rows; g++) {
            needs[g] = (int) Math.max(0, need[g] - own[g]);
        }
        return needs;
    }

    private static void split(Account a, int part, long[] need) {
        int n = a.rows.length;
        long wants = a.wants();
        int[] given = new int[n];
        int sum = 0;
        for (int k = 0; k < n; k++) {
            double even = wants == 0 ? 0 : part * (double) a.wanted[k] / wants;
            // Where there is one for each gateway that asks, none is left without.
            int low = (int) Math.max(part >= n ? 1 : 0, Math.ceil(even * (1 - KEPT) - 1));
            int high = (int) Math.min(a.wanted[k], Math.floor(even * (1 + KEPT) + 1));
            given[k] =
                    Math.max(
                            Math.min(low, a.wanted[k]),
                            Math.min(Math.min(Math.max(high, 1), a.wanted[k]), a.before[k]));
            sum += given[k];
        }
        while (sum != part) {
            // To or from those that are farthest off, in one pass each: as many of them as are
            // needed.
            int sign = sum < part ? 1 : -1;
            List<Integer> order = new ArrayList<>();
            for (int k = 0; k < n; k++) {
                if (sign > 0 ? given[k] < a.wanted[k] : given[k] > (part >= n ? 1 : 0)) {
                    order.add(k);
                }
            }
            double scale = part / (double) Math.max(1, wants);
            order.sort(
                    (x, y) -> {
                        int c =
                                Double.compare(
                                        sign * (given[x] - scale * a.wanted[x]),
                                        sign * (given[y] - scale * a.wanted[y]));
                        return c != 0 ? c : Integer.compare(x, y);
                    });
            for (int j = 0; j < order.size() && sum != part; j++) {
                given[order.get(j)] += sign;
                sum += sign;
            }
            if (order.isEmpty()) {
                break;
            }
        }
        a.given = given;
        for (int k = 0; k < n; k++) {
            need[a.rows[k]] += given[k];
        }
    }

    private void fillOwn(int[] own, long[] need, List<Account> accounts) {
        List<List<int[]>> at = new ArrayList<>();
        for (int g = 0; g < rows; g++) {
            at.add(need[g] < own[g] ? new ArrayList<>() : null);
        }
        for (int i = 0; i < accounts.size(); i++) {
            Account a = accounts.get(i);
            for (int k = 0; k < a.rows.length; k++) {
                if (at.get(a.rows[k]) != null && a.given[k] < a.wanted[k]) {
                    at.get(a.rows[k]).add(new int[] {i, k});
                }
            }
        }
        for (int g = 0; g < rows; g++) {
            List<int[]> here = at.get(g);
            if (here == null || here.isEmpty()) {
                continue;
            }
            int[] weight = new int[here.size()];
            int[] most = new int[here.size()];
            for (int j = 0; j < weight.length; j++) {
                Account a = accounts.get(here.get(j)[0]);
                int k = here.get(j)[1];
                weight[j] = a.weight;
                most[j] =
                        (int)
                                Math.min(
                                        a.wanted[k] - a.given[k],
                                        a.cap - Arrays.stream(a.given).asLongStream().sum());
            }
            int[] more =
                    MaxMinFairness.divide(own[g] - need[g], weight, new int[weight.length], most);
            for (int j = 0; j < more.length; j++) {
                accounts.get(here.get(j)[0]).given[here.get(j)[1]] += more[j];
                need[g] += more[j];
            }
        }
    }

    /**
     * Rows come to their needs, columns to no more than their capacity; what need not change does
     * not.
     */
    private void place(int[] capacity, int[] needs) {
        int[] used = new int[columns];
        int[] has = new int[rows];
        for (int g = 0; g < rows; g++) {
            for (int s = 0; s < columns; s++) {
                used[s] += aim[g][s];
                has[g] += aim[g][s];
            }
        }
        for (int g = 0; g < rows; g++) {
            while (has[g] > needs[g]) {
                int from = -1;
                for (int s = 0; s < columns; s++) {
                    if (aim[g][s] > 0
                            && (from < 0
                                    || over(used, capacity, s) > over(used, capacity, from)
                                    || over(used, capacity, s) == over(used, capacity, from)
                                            && aim[g][s] > aim[g][from])) {
                        from = s;
                    }
                }
                aim[g][from]--;
                used[from]--;
                has[g]--;
            }
        }
        for (int s = 0; s < columns; s++) {
            while (used[s] > capacity[s]) {
                int from = 0;
                for (int g = 1; g < rows; g++) {
                    from = aim[g][s] > aim[from][s] ? g : from;
                }
                aim[from][s]--;
                used[s]--;
                has[from]--;
            }
        }
        for (int g = 0; g < rows; g++) {
            fill(g, needs[g] - has[g], used, capacity);
        }
    }

    private static int over(int[] used, int[] capacity, int s) {
        return Math.max(0, used[s] - capacity[s]);
    }

    /** One more at each server with room in turn; each gateway begins at another one. */
    private void fill(int g, int lacks, int[] used, int[] capacity) {
        int left = lacks;
        int start = (int) ((long) g * columns / Math.max(1, rows));
        for (boolean any = true; any && left > 0; ) {
            any = false;
            for (int j = 0; j < columns && left > 0; j++) {
                int s = (start + j) % columns;
                if (used[s] < capacity[s]) {
                    aim[g][s]++;
                    used[s]++;
                    left--;
                    any = true;
                }
            }
        }
    }

    private int[][] step(int[] pool, int[][] granted, int[][] may) {
        int[][] next = new int[rows][columns];
        for (int s = 0; s < columns; s++) {
            long free = pool[s];
            for (int g = 0; g < rows; g++) {
                free -= Math.max(may[g][s], granted[g][s]);
            }
            for (int j = 0; j < rows; j++) {
                int g = (s + j) % rows;
                int had = Math.max(may[g][s], granted[g][s]);
                int more = (int) Math.max(0, Math.min(aim[g][s] - had, free));
                free -= more;
                next[g][s] = Math.min(aim[g][s], had + more);
            }
        }
        return next;
    }
}
