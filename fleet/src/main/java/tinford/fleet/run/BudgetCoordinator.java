package tinford.fleet.run;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tinford.api.Server;
import tinford.api.Tenant;
import tinford.fleet.budget.BudgetLedger;
import tinford.fleet.budget.GrantProposer;
import tinford.fleet.budget.LedgerEntry;
import tinford.fleet.budget.LocalBudget;

/**
 * One process's part in dividing the servers' connections among the gateways: the limits that it
 * keeps, the demand that it reports, and the grants that it proposes while it leads. Called on the
 * I/O thread only. Times are in ms of the process's wall clock.
 */
final class BudgetCoordinator {
    /** A gateway proposes no more than two entries within this time. */
    static final double ROUND_INTERVAL_MS = 250;

    /** How long a demand is reported on after it was last seen. */
    static final double DEMAND_RETENTION_MS = 2000;

    private static final int MAX_SERVERS = 1024;
    private static final int MAX_OFFERS_PER_ROUND = 64;
    private static final double WEIGHT_UNITS = 10;
    private static final int MAX_WEIGHT = 1000;

    /**
     * An account's key holds its plan's weight above these bits, so that each gateway divides by
     * it. Tenants of one weight share a bounded number of accounts: where more of them are active
     * than there are connections, single ones can't be divided among all.
     */
    private static final int WEIGHT_SHIFT = 40;

    private final BudgetLedger ledger;
    private final LocalBudget budget;
    private final GrantProposer proposer;
    private final int capacityPerServer;
    private final int accountsPerWeight;
    private double nextOffersMs;

    /** Servers by id, the least recently used first. */
    private final Map<String, Server> servers =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Server> eldest) {
                    return size() > MAX_SERVERS;
                }
            };

    /**
     * @param capacityPerServer connections that a server offers the fleet
     */
    BudgetCoordinator(
            BudgetLedger ledger,
            LocalBudget budget,
            GrantProposer proposer,
            int capacityPerServer,
            int accountsPerWeight) {
        this.ledger = ledger;
        this.budget = budget;
        this.proposer = proposer;
        this.capacityPerServer = capacityPerServer;
        this.accountsPerWeight = accountsPerWeight;
    }

    /** The plan's part in the division, as the account's key tells it. */
    static GrantProposer.Plan plan(long account, int floor, int cap) {
        return new GrantProposer.Plan((int) (account >> WEIGHT_SHIFT), floor, cap);
    }

    /** The account through which a tenant's attempts are granted. */
    long account(Tenant tenant) {
        long weight =
                Math.max(
                        1,
                        Math.min(
                                MAX_WEIGHT, Math.round(WEIGHT_UNITS * tenant.plan.priorityWeight)));
        return weight << WEIGHT_SHIFT | Math.floorMod(tenant.id, accountsPerWeight);
    }

    /** Entries that this gateway proposes for itself now. */
    List<byte[]> nextEntries(double nowMs) {
        return budget.nextEntries(nowMs);
    }

    /** Entries that this gateway proposes as leader: unknown servers' capacities, and a grant. */
    List<byte[]> leaderEntries(double nowMs) {
        List<byte[]> entries = new ArrayList<>();
        if (nowMs >= nextOffersMs) {
            nextOffersMs = nowMs + ROUND_INTERVAL_MS;
            addCapacityOffers(entries, nowMs);
        }
        byte[] grant = proposer.propose(ledger, nowMs);
        if (grant != null) {
            entries.add(grant);
        }
        return entries;
    }

    private void addCapacityOffers(List<byte[]> entries, double nowMs) {
        for (Server server : servers.values()) {
            if (entries.size() >= MAX_OFFERS_PER_ROUND) {
                return;
            }
            if (ledger.serverNumber(server.id) < 0) {
                LedgerEntry.CapacityOffer offer =
                        new LedgerEntry.CapacityOffer(
                                server.id, (long) server.startedAtMs(), capacityPerServer, nowMs);
                entries.add(offer.encode());
            }
        }
    }

    /** Connections that this gateway may hold at the server. */
    int connectionLimit(Server server, double nowMs) {
        servers.put(server.id, server);
        return budget.connectionLimit(server.id, nowMs);
    }

    /** Connections that it may hold at all servers that it used lately, static ones included. */
    int totalConnectionLimit(double nowMs) {
        int total = 0;
        for (String id : servers.keySet()) {
            total += budget.connectionLimit(id, nowMs);
        }
        return total;
    }

    /**
     * Attempts that an account may have in flight through this gateway: at least one, so that an
     * account without a grant competes for the connections.
     */
    int attemptLimit(long account, double nowMs) {
        return Math.max(1, budget.attemptLimit(account, nowMs));
    }

    void reportDemand(long account, int attempts) {
        budget.reportDemand(account, attempts);
    }

    void connectionOpened(Server server) {
        budget.connectionOpened(server.id);
    }

    void connectionClosed(Server server) {
        budget.connectionClosed(server.id);
    }

    /** Wants nothing more, and leaves the fleet once no connection is open. */
    void startLeaving() {
        budget.startLeaving();
    }

    boolean hasLeft() {
        return budget.hasLeft();
    }

    /** Whether the gateway acts on a lease, or on its static share only. */
    boolean hasLease(double nowMs) {
        return budget.hasLease(nowMs);
    }
}
