package tinford.fleet.budget;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongFunction;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.Lease;
import tinford.fleet.membership.LeaseTable;

/**
 * One gateway's own side: what it may hold and use now, by its own clock, and what it tells the
 * log. Where its lease has ended, or ends within the margin, only its static share is left. Holds
 * {@link BudgetLedger#MAX_ACCOUNTS} accounts that want something and {@link
 * BudgetLedger#MAX_SERVERS} servers at most.
 */
public class LocalBudget {
    /** What an account wanted at most, in the last span of time and in the one before. */
    private static final class Want {
        int now;
        int before;

        /** What it may have out while this gateway has no lease. */
        int alone;

        int most() {
            return Math.max(now, before);
        }
    }

    private final BudgetLedger ledger;
    private final StaticShares staticShares;
    private final LongFunction<GrantProposer.Plan> plans;
    private final Incarnation incarnation;
    private final double length;
    private final double margin;
    private final double every;
    private final double keep;
    private final double staticFrom;
    private final TreeMap<Long, Want> wants = new TreeMap<>();
    private final Map<String, Integer> open = new LinkedHashMap<>();
    private final Map<String, Long> fencingTokens = new LinkedHashMap<>();
    private double nextRound;
    private double nextSpan;
    private boolean leaves;
    private boolean left;

    /**
     * @param ledger this process's own, as the log is applied to it
     * @param length of a lease, ms
     * @param margin what is granted is let go this long before the lease ends, ms
     * @param every a round comes no sooner than this after the last, ms
     * @param keep what was wanted is told on for this long, so that what comes and goes does not
     *     move grants, ms
     * @param staticFrom from when the static share may be used: the start, where the last
     *     incarnation of this gateway surely closed all; else the linger after the start
     */
    public LocalBudget(
            BudgetLedger ledger,
            StaticShares staticShares,
            LongFunction<GrantProposer.Plan> plans,
            Incarnation incarnation,
            double length,
            double margin,
            double every,
            double keep,
            double staticFrom) {
        this.ledger = ledger;
        this.staticShares = staticShares;
        this.plans = plans;
        this.incarnation = incarnation;
        this.length = length;
        this.margin = margin;
        this.every = every;
        this.keep = keep;
        this.staticFrom = staticFrom;
    }

    /** Whether its grants count now, by its own clock. */
    public boolean hasLease(double now) {
        Lease lease = ledger.leases().of(incarnation);
        return lease != null && lease.isHeldAt(now + margin);
    }

    /**
     * Connections that this gateway may hold at the server; asked before one is opened, and before
     * each dispatch.
     */
    public int connectionLimit(String server, double now) {
        if (left) {
            return 0;
        }
        int number = ledger.serverNumber(server);
        return own(server, now)
                + (number >= 0 && hasLease(now) ? ledger.granted(incarnation, number) : 0);
    }

    private int own(String server, double now) {
        return now >= staticFrom ? staticShares.of(server, incarnation.gateway()) : 0;
    }

    /** Connections to let go: idle ones at once, busy ones as they are answered. */
    public int excessConnections(String server, double now) {
        return Math.max(0, open.getOrDefault(server, 0) - connectionLimit(server, now));
    }

    /**
     * Dispatches that an account may have out through this gateway. One that the ledger does not
     * know yet may have one.
     */
    public int attemptLimit(long account, double now) {
        if (hasLease(now)) {
            GrantTable.Holder h = ledger.table.holders.get(incarnation);
            int least = h == null || !h.asked.containsKey(account) ? 1 : 0;
            return Math.max(least, ledger.accountGrant(incarnation, account));
        }
        Want want = wants.get(account);
        return want == null ? 1 : Math.max(1, want.alone);
    }

    /**
     * Number of the last entry that granted here; never falls. The routing opens nothing under a
     * lower one.
     */
    public long fencingToken(String server) {
        int number = ledger.serverNumber(server);
        GrantTable.Holder h = ledger.table.holders.get(incarnation);
        GrantTable.Cell c = h == null || number < 0 ? null : h.cells.get(number);
        return fencingTokens.merge(server, c == null ? 0 : c.fencingToken, Math::max);
    }

    public void connectionOpened(String server) {
        open.merge(server, 1, Integer::sum);
    }

    public void connectionClosed(String server) {
        open.computeIfPresent(server, (s, n) -> n > 1 ? n - 1 : null);
    }

    /** An account has, or would have if nothing were short, so many dispatches out now. */
    public void reportDemand(long account, int dispatches) {
        Want want = wants.get(account);
        if (want == null) {
            if (dispatches <= 0 || wants.size() >= BudgetLedger.MAX_ACCOUNTS) {
                return;
            }
            want = new Want();
            wants.put(account, want);
        }
        want.now = Math.max(want.now, dispatches);
    }

    /** This process ends: it wants nothing more, and leaves once nothing is open. */
    public void startLeaving() {
        leaves = true;
    }

    /** Whether it left: from then on it holds nothing. */
    public boolean hasLeft() {
        return left;
    }

    /**
     * What to append to the log now: two entries at most, no sooner than {@code every} after the
     * last ones. What is lost is told again, as it is worked out from what the ledger has.
     */
    public List<byte[]> nextEntries(double now) {
        if (now < nextRound || left) {
            return List.of();
        }
        nextRound = now + every;
        List<byte[]> entries = new ArrayList<>(2);
        Lease lease = ledger.leases().of(incarnation);
        if (leaves && open.isEmpty()) {
            left = true;
            entries.add(LeaseTable.departureEntry(incarnation, now));
            return entries;
        }
        if (lease == null || now >= lease.expiresAtMs() - length * 2 / 3) {
            entries.add(LeaseTable.renewalEntry(incarnation, now, length));
        }
        alone(now);
        if (lease != null) {
            tell(now, entries);
        }
        if (now >= nextSpan) {
            nextSpan = now + keep;
            wants.values()
                    .forEach(
                            w -> {
                                w.before = w.now;
                                w.now = 0;
                            });
            wants.values().removeIf(w -> w.before == 0);
        }
        return entries;
    }

    private void tell(double now, List<byte[]> entries) {
        GrantTable.Holder h = ledger.table.holders.get(incarnation);
        Map<Long, Integer> wanted = new LinkedHashMap<>();
        Map<Integer, Integer> held = new LinkedHashMap<>();
        if (!leaves) {
            wants.forEach(
                    (a, w) -> {
                        int told = h == null ? 0 : h.asked.getOrDefault(a, 0);
                        // A little less is not told, more always is.
                        if (w.most() > told || w.most() < told - told / 8) {
                            wanted.put(a, w.most());
                        }
                    });
        }
        if (h != null) {
            h.asked.forEach(
                    (a, told) -> {
                        if ((leaves || !wants.containsKey(a))
                                && wanted.size() < BudgetLedger.MAX_ACCOUNTS) {
                            wanted.put(a, 0);
                        }
                    });
            h.cells.forEach(
                    (s, c) -> {
                        String name = ledger.table.servers.get(s).name;
                        int has = Math.max(0, open.getOrDefault(name, 0) - own(name, now));
                        if (c.may > c.granted && has < c.may) {
                            held.put(s, has);
                        }
                    });
        }
        if (!wanted.isEmpty() || !held.isEmpty()) {
            entries.add(
                    new LedgerEntry.DemandReport(incarnation, now, ledger.lastIndex(), wanted, held)
                            .encode());
        }
    }

    /** Without a lease its static share is divided here, by the same rule. */
    private void alone(double now) {
        int pool = 0;
        for (GrantTable.Server s : ledger.table.servers) {
            pool += own(s.name, now);
        }
        int[][] in = new int[3][wants.size()];
        int i = 0;
        for (Map.Entry<Long, Want> e : wants.entrySet()) {
            GrantProposer.Plan plan = plans.apply(e.getKey());
            in[0][i] = plan == null ? 1 : plan.weight();
            in[1][i] = plan == null ? 0 : plan.floor();
            in[2][i++] = plan == null ? 0 : Math.min(plan.cap(), e.getValue().most());
        }
        int[] given = MaxMinFairness.divide(pool, in[0], in[1], in[2]);
        i = 0;
        for (Want w : wants.values()) {
            w.alone = given[i++];
        }
    }
}
