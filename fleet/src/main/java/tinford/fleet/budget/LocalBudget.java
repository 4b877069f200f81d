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
 * The budget of one gateway: what it may hold and use now, by its own clock, and the entries that
 * it appends to the log. If its lease has expired, or expires within the margin, it may use only
 * its static share. Holds at most {@link BudgetLedger#MAX_ACCOUNTS} accounts with demand and {@link
 * BudgetLedger#MAX_SERVERS} servers. Times are in ms.
 */
public class LocalBudget {
    /** Demand of an account: the maximum of its attempts in flight, by retention period. */
    private static final class Demand {
        /** Maximum in the current period. */
        int currentMax;

        /** Maximum in the period before. */
        int previousMax;

        /** Attempts that the account may have in flight while this gateway has no lease. */
        int limitWithoutLease;

        int max() {
            return Math.max(currentMax, previousMax);
        }
    }

    /**
     * A demand that has fallen by no more than the reported one divided by this is not reported.
     */
    private static final int UNREPORTED_DECREASE_DIVISOR = 8;

    private final BudgetLedger ledger;
    private final StaticShares staticShares;
    private final LongFunction<GrantProposer.Plan> plans;
    private final Incarnation incarnation;
    private final double leaseMs;
    private final double marginMs;
    private final double intervalMs;
    private final double retentionMs;
    private final double staticFromMs;
    private final TreeMap<Long, Demand> demands = new TreeMap<>();
    private final Map<String, Integer> openConnections = new LinkedHashMap<>();
    private final Map<String, Long> fencingTokens = new LinkedHashMap<>();
    private double nextEntriesMs;
    private double nextPeriodMs;
    private boolean leaving;
    private boolean left;

    /**
     * @param ledger of this process, which applies the log
     * @param leaseMs length of a lease
     * @param marginMs how long before the lease expires the gateway stops using its grants
     * @param intervalMs minimum time between two calls that return entries
     * @param retentionMs how long a demand is still reported after it has ended, so that short
     *     changes of demand don't change grants
     * @param staticFromMs time from which the static share may be used: the start, if all
     *     connections of this gateway's previous incarnation are certain to be closed; otherwise
     *     later by the linger time
     */
    public LocalBudget(
            BudgetLedger ledger,
            StaticShares staticShares,
            LongFunction<GrantProposer.Plan> plans,
            Incarnation incarnation,
            double leaseMs,
            double marginMs,
            double intervalMs,
            double retentionMs,
            double staticFromMs) {
        this.ledger = ledger;
        this.staticShares = staticShares;
        this.plans = plans;
        this.incarnation = incarnation;
        this.leaseMs = leaseMs;
        this.marginMs = marginMs;
        this.intervalMs = intervalMs;
        this.retentionMs = retentionMs;
        this.staticFromMs = staticFromMs;
    }

    /** Whether grants are in force now, by this gateway's clock. */
    public boolean hasLease(double nowMs) {
        Lease lease = ledger.leases().of(incarnation);
        return lease != null && lease.isHeldAt(nowMs + marginMs);
    }

    /**
     * Connections that this gateway may hold at a server. To be checked before a connection is
     * opened and before each attempt.
     */
    public int connectionLimit(String server, double nowMs) {
        if (left) {
            return 0;
        }
        int number = ledger.serverNumber(server);
        int granted = number >= 0 && hasLease(nowMs) ? ledger.granted(incarnation, number) : 0;
        return staticShare(server, nowMs) + granted;
    }

    private int staticShare(String server, double nowMs) {
        return nowMs >= staticFromMs ? staticShares.of(server, incarnation.gateway()) : 0;
    }

    /**
     * Number of connections to close at a server: idle ones at once, busy ones once the response
     * has arrived.
     */
    public int excessConnections(String server, double nowMs) {
        int open = openConnections.getOrDefault(server, 0);
        return Math.max(0, open - connectionLimit(server, nowMs));
    }

    /**
     * Attempts that an account may have in flight through this gateway; at least one for an account
     * that the ledger does not know yet.
     */
    public int attemptLimit(long account, double nowMs) {
        if (hasLease(nowMs)) {
            GrantTable.Holder holder = holder();
            boolean isKnown = holder != null && holder.demands.containsKey(account);
            return Math.max(isKnown ? 0 : 1, ledger.accountGrant(incarnation, account));
        }
        Demand demand = demands.get(account);
        return demand == null ? 1 : Math.max(1, demand.limitWithoutLease);
    }

    /** Null if the ledger has no demand report of this incarnation. */
    private GrantTable.Holder holder() {
        return ledger.table.holders.get(incarnation);
    }

    /**
     * Index of the last entry that changed this gateway's grant at a server; never decreases. No
     * connection may be opened with a lower one.
     */
    public long fencingToken(String server) {
        int number = ledger.serverNumber(server);
        GrantTable.ServerGrant grant =
                number < 0 ? null : ledger.table.serverGrant(incarnation, number);
        return fencingTokens.merge(server, grant == null ? 0 : grant.fencingToken, Math::max);
    }

    public void connectionOpened(String server) {
        openConnections.merge(server, 1, Integer::sum);
    }

    public void connectionClosed(String server) {
        openConnections.computeIfPresent(server, (key, open) -> open > 1 ? open - 1 : null);
    }

    /**
     * Records how many attempts of an account are in flight now, or would be if there were enough
     * connections.
     */
    public void reportDemand(long account, int attempts) {
        Demand demand = demands.get(account);
        if (demand == null) {
            if (attempts <= 0 || demands.size() >= BudgetLedger.MAX_ACCOUNTS) {
                return;
            }
            demand = new Demand();
            demands.put(account, demand);
        }
        demand.currentMax = Math.max(demand.currentMax, attempts);
    }

    /** Reports no demand from now on; the gateway leaves the fleet once no connection is open. */
    public void startLeaving() {
        leaving = true;
    }

    /** Whether the gateway has left the fleet; it then holds no connections. */
    public boolean hasLeft() {
        return left;
    }

    /**
     * Returns the entries to append now: at most two, and none within the interval after the last
     * ones. A lost entry does no harm, as the next ones are derived from the state of the ledger.
     */
    public List<byte[]> nextEntries(double nowMs) {
        if (nowMs < nextEntriesMs || left) {
            return List.of();
        }
        nextEntriesMs = nowMs + intervalMs;
        if (leaving && openConnections.isEmpty()) {
            left = true;
            return List.of(LeaseTable.departureEntry(incarnation, nowMs));
        }
        List<byte[]> entries = new ArrayList<>(2);
        Lease lease = ledger.leases().of(incarnation);
        if (lease == null || nowMs >= lease.expiresAtMs() - leaseMs * 2 / 3) {
            entries.add(LeaseTable.renewalEntry(incarnation, nowMs, leaseMs));
        }
        divideStaticShare(nowMs);
        if (lease != null) {
            addDemandReport(nowMs, entries);
        }
        if (nowMs >= nextPeriodMs) {
            startPeriod(nowMs);
        }
        return entries;
    }

    private void startPeriod(double nowMs) {
        nextPeriodMs = nowMs + retentionMs;
        for (Demand demand : demands.values()) {
            demand.previousMax = demand.currentMax;
            demand.currentMax = 0;
        }
        demands.values().removeIf(demand -> demand.previousMax == 0);
    }

    private void addDemandReport(double nowMs, List<byte[]> entries) {
        GrantTable.Holder holder = holder();
        Map<Long, Integer> changedDemands = changedDemands(holder);
        Map<Integer, Integer> held = holder == null ? Map.of() : heldBeyondGrants(holder, nowMs);
        if (!changedDemands.isEmpty() || !held.isEmpty()) {
            entries.add(
                    new LedgerEntry.DemandReport(
                                    incarnation, nowMs, ledger.lastIndex(), changedDemands, held)
                            .encode());
        }
    }

    /** Demands that differ from those in the ledger, by account; 0 for those that have ended. */
    private Map<Long, Integer> changedDemands(GrantTable.Holder holder) {
        Map<Long, Integer> changed = new LinkedHashMap<>();
        Map<Long, Integer> reported = holder == null ? Map.of() : holder.demands;
        if (!leaving) {
            demands.forEach(
                    (account, demand) -> {
                        if (mustReport(demand.max(), reported.getOrDefault(account, 0))) {
                            changed.put(account, demand.max());
                        }
                    });
        }
        for (long account : reported.keySet()) {
            if ((leaving || !demands.containsKey(account))
                    && changed.size() < BudgetLedger.MAX_ACCOUNTS) {
                changed.put(account, 0);
            }
        }
        return changed;
    }

    /** Any increase is reported, a small decrease is not. */
    private static boolean mustReport(int demand, int reported) {
        return demand > reported || demand < reported - reported / UNREPORTED_DECREASE_DIVISOR;
    }

    /**
     * Connections held beyond the static share, by server number, where a grant was reduced and
     * fewer are held than the ledger assumes.
     */
    private Map<Integer, Integer> heldBeyondGrants(GrantTable.Holder holder, double nowMs) {
        Map<Integer, Integer> heldByServer = new LinkedHashMap<>();
        holder.serverGrants.forEach(
                (number, grant) -> {
                    String server = ledger.table.servers.get(number).name;
                    int open = openConnections.getOrDefault(server, 0);
                    int held = Math.max(0, open - staticShare(server, nowMs));
                    if (grant.maxHeld > grant.granted && held < grant.maxHeld) {
                        heldByServer.put(number, held);
                    }
                });
        return heldByServer;
    }

    /**
     * Divides the static share among the accounts, by the same rule as the leader, for use while
     * this gateway has no lease.
     */
    private void divideStaticShare(double nowMs) {
        int pool = 0;
        for (GrantTable.Server server : ledger.table.servers) {
            pool += staticShare(server.name, nowMs);
        }
        int[] weights = new int[demands.size()];
        int[] minimumShares = new int[demands.size()];
        int[] caps = new int[demands.size()];
        int index = 0;
        for (Map.Entry<Long, Demand> entry : demands.entrySet()) {
            GrantProposer.Plan plan = plans.apply(entry.getKey());
            weights[index] = plan == null ? 1 : plan.weight();
            minimumShares[index] = plan == null ? 0 : plan.minimumShare();
            caps[index] = plan == null ? 0 : Math.min(plan.cap(), entry.getValue().max());
            index++;
        }
        int[] limits = MaxMinFairness.divide(pool, weights, minimumShares, caps);
        index = 0;
        for (Demand demand : demands.values()) {
            demand.limitWithoutLease = limits[index++];
        }
    }
}
