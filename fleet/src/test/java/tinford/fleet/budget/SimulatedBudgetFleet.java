package tinford.fleet.budget;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.LongFunction;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.LeaseTable;

/**
 * Gateways with their ledgers in simulated time, with a log that loses, duplicates and delays
 * proposed entries, and servers that count connections.
 */
final class SimulatedBudgetFleet {
    static final double LEASE_MS = 3000;
    static final double MARGIN_MS = 300;
    static final double CLOCK_SKEW_MS = 200;
    static final double LINGER_MS = 1500;
    static final double SERVICE_MS = 300;
    static final double INTERVAL_MS = 250;
    static final double RETENTION_MS = 1500;
    static final double STEP_MS = 10;

    /** An open connection, as its server counts it. */
    static final class Connection {
        final String server;
        double sentMs;
        double busyUntilMs;
        long account;

        Connection(String server) {
            this.server = server;
        }
    }

    final class Gateway {
        final int number;
        final double clockOffsetMs;
        BudgetLedger ledger;
        LocalBudget budget;
        GrantProposer proposer;
        final List<Connection> connections = new ArrayList<>();
        final Map<Long, Integer> demands = new TreeMap<>();
        int applied;
        double pausedUntilMs;
        double partitionedUntilMs;
        double deadUntilMs;

        Gateway(int number, double clockOffsetMs) {
            this.number = number;
            this.clockOffsetMs = clockOffsetMs;
            start(0);
        }

        void start(double lingerMs) {
            ledger = ledgerFactory.apply(staticShares);
            applied = 0;
            double ownNowMs = nowMs + clockOffsetMs;
            budget =
                    budgetFactory.create(
                            ledger, new Incarnation(number, (long) ownNowMs), ownNowMs + lingerMs);
            proposer = new GrantProposer(plans, INTERVAL_MS);
            // Half of the gateways that restart restore a snapshot of another gateway.
            Gateway other = lingerMs > 0 ? gateways.get((number + 1) % gateways.size()) : this;
            if (other != this && other.ledger != null && random.nextBoolean()) {
                ledger.restore(other.applied, other.ledger.snapshot());
                applied = other.applied;
            }
        }

        boolean isRunning() {
            return nowMs >= pausedUntilMs && nowMs >= deadUntilMs;
        }
    }

    interface BudgetFactory {
        LocalBudget create(BudgetLedger ledger, Incarnation incarnation, double staticFromMs);
    }

    final Random random;
    final Map<String, Integer> capacities = new LinkedHashMap<>();

    /**
     * By server, after its capacity was reduced: the highest recent capacity, as connections can't
     * be released at once, and the time until which it still counts.
     */
    private final Map<String, double[]> recentCapacities = new LinkedHashMap<>();

    final List<Gateway> gateways = new ArrayList<>();
    final List<Connection> orphanedConnections = new ArrayList<>();
    final List<byte[]> log = new ArrayList<>();
    private final TreeMap<Double, List<byte[]>> pendingEntries = new TreeMap<>();
    final StaticShares staticShares;
    final LongFunction<GrantProposer.Plan> plans;
    Function<StaticShares, BudgetLedger> ledgerFactory;
    BudgetFactory budgetFactory;
    boolean injectsFaults;
    double nowMs = 1_000_000;
    double noMajorityUntilMs;
    int leader;
    int staleLeader;
    long appended;
    int maxExcess = Integer.MIN_VALUE;
    double used;
    double couldUse;

    SimulatedBudgetFleet(
            long seed,
            int size,
            Map<String, Integer> capacities,
            double staticPart,
            LongFunction<GrantProposer.Plan> plans,
            Function<StaticShares, BudgetLedger> ledgerFactory,
            BudgetFactory budgetFactory) {
        random = new Random(seed);
        this.capacities.putAll(capacities);
        this.plans = plans;
        staticShares = new StaticShares(capacities, staticPart, size);
        this.ledgerFactory =
                ledgerFactory != null
                        ? ledgerFactory
                        : allShares -> new BudgetLedger(leases(size), allShares);
        this.budgetFactory = budgetFactory != null ? budgetFactory : this::newLocalBudget;
        for (int gateway = 0; gateway < size; gateway++) {
            gateways.add(
                    new Gateway(gateway, size == 1 ? 0 : (gateway % 3 - 1) * CLOCK_SKEW_MS / 2));
        }
        capacities.forEach(
                (server, capacity) ->
                        log.add(
                                new LedgerEntry.CapacityOffer(server, 1, capacity, nowMs)
                                        .encode()));
    }

    static LeaseTable leases(int size) {
        return new LeaseTable(size, LEASE_MS, CLOCK_SKEW_MS, LINGER_MS);
    }

    LocalBudget newLocalBudget(BudgetLedger ledger, Incarnation incarnation, double staticFromMs) {
        return new LocalBudget(
                ledger,
                staticShares,
                plans,
                incarnation,
                LEASE_MS,
                MARGIN_MS,
                INTERVAL_MS,
                RETENTION_MS,
                staticFromMs);
    }

    void offerCapacity(String server, int capacity, long start) {
        double[] recent = recentCapacities.computeIfAbsent(server, s -> new double[2]);
        if (capacity < capacities.get(server)) {
            recent[0] = Math.max(nowMs < recent[1] ? recent[0] : 0, capacities.get(server));
            recent[1] = nowMs + 4 * INTERVAL_MS + 2 * (LEASE_MS + CLOCK_SKEW_MS + LINGER_MS);
        }
        capacities.put(server, capacity);
        log.add(new LedgerEntry.CapacityOffer(server, start, capacity, nowMs).encode());
    }

    private void append(Gateway from, byte[] entry) {
        appended++;
        boolean lost =
                nowMs < noMajorityUntilMs
                        || nowMs < from.partitionedUntilMs
                        || injectsFaults && random.nextInt(12) == 0;
        if (!lost || injectsFaults && random.nextInt(8) == 0) {
            boolean late = injectsFaults && random.nextInt(12) == 0;
            schedule(entry, late || lost ? 200 + random.nextInt(4000) : 5 + random.nextInt(40));
            if (injectsFaults && random.nextInt(12) == 0) {
                schedule(entry, random.nextInt(5000));
            }
        }
    }

    private void schedule(byte[] entry, double delayMs) {
        pendingEntries.computeIfAbsent(nowMs + delayMs, key -> new ArrayList<>()).add(entry);
    }

    private void injectFault() {
        Gateway gateway = gateways.get(random.nextInt(gateways.size()));
        double durationMs = 100 + random.nextInt(9000);
        switch (random.nextInt(8)) {
            case 0, 1 -> gateway.pausedUntilMs = nowMs + durationMs;
            case 2, 3 -> gateway.partitionedUntilMs = nowMs + durationMs;
            case 4 -> {
                orphanedConnections.addAll(gateway.connections);
                gateway.connections.clear();
                gateway.deadUntilMs = nowMs + 1 + random.nextInt(400);
                gateway.pausedUntilMs = 0;
                gateway.ledger = null;
            }
            case 5 -> noMajorityUntilMs = nowMs + durationMs / 2;
            case 6 -> appendFaultyGrant(gateway);
            default -> {
                staleLeader = leader;
                leader = gateway.number;
            }
        }
    }

    /** A faulty leader grants far too much, by the latest state of the ledger. */
    private void appendFaultyGrant(Gateway gateway) {
        if (gateway.ledger != null && !gateway.ledger.table.holders.isEmpty()) {
            List<LedgerEntry.GrantLine> lines = new ArrayList<>();
            for (Incarnation incarnation : gateway.ledger.table.holders.keySet()) {
                lines.add(
                        new LedgerEntry.GrantLine(
                                incarnation,
                                random.nextInt(capacities.size()),
                                random.nextInt(60)));
            }
            log.add(
                    new LedgerEntry.Grant(
                                    log.size(), nowMs + gateway.clockOffsetMs, lines, List.of())
                            .encode());
        }
    }

    void run(double durationMs) {
        for (double endMs = nowMs + durationMs; nowMs < endMs; nowMs += STEP_MS) {
            step();
        }
    }

    void step() {
        if (injectsFaults && random.nextInt(60) == 0) {
            injectFault();
        }
        while (nowMs >= noMajorityUntilMs
                && !pendingEntries.isEmpty()
                && pendingEntries.firstKey() <= nowMs) {
            log.addAll(pendingEntries.pollFirstEntry().getValue());
        }
        if (!mayLead(gateways.get(leader))) {
            gateways.stream()
                    .filter(this::mayLead)
                    .findFirst()
                    .ifPresent(gateway -> leader = gateway.number);
        }
        if (nowMs < noMajorityUntilMs || !mayLead(gateways.get(leader))) {
            recentCapacities.values().forEach(recent -> recent[1] += STEP_MS);
        }
        orphanedConnections.removeIf(connection -> nowMs >= connection.sentMs + LINGER_MS);
        for (Gateway gateway : gateways) {
            if (gateway.ledger == null && nowMs >= gateway.deadUntilMs) {
                gateway.start(LINGER_MS);
            }
            if (gateway.isRunning()) {
                run(gateway);
            } else {
                gateway.connections.removeIf(
                        connection -> {
                            boolean closed = nowMs >= connection.sentMs + LINGER_MS;
                            if (closed && gateway.budget != null) {
                                gateway.budget.connectionClosed(connection.server);
                            }
                            return closed;
                        });
            }
        }
        for (Map.Entry<String, Integer> entry : capacities.entrySet()) {
            double[] recent = recentCapacities.get(entry.getKey());
            int capacity =
                    recent != null && nowMs < recent[1]
                            ? (int) Math.max(entry.getValue(), recent[0])
                            : entry.getValue();
            maxExcess = Math.max(maxExcess, openConnections(entry.getKey()) - capacity);
        }
    }

    private boolean mayLead(Gateway gateway) {
        return gateway.ledger != null && gateway.isRunning() && nowMs >= gateway.partitionedUntilMs;
    }

    int openConnections(String server) {
        int count =
                (int)
                        orphanedConnections.stream()
                                .filter(connection -> connection.server.equals(server))
                                .count();
        for (Gateway gateway : gateways) {
            count +=
                    (int)
                            gateway.connections.stream()
                                    .filter(connection -> connection.server.equals(server))
                                    .count();
        }
        return count;
    }

    private void run(Gateway gateway) {
        double ownNowMs = nowMs + gateway.clockOffsetMs;
        if (nowMs >= gateway.partitionedUntilMs && nowMs >= noMajorityUntilMs) {
            // A member may apply entries late.
            int lastIndex = injectsFaults && random.nextInt(3) == 0 ? gateway.applied : log.size();
            for (; gateway.applied < lastIndex; gateway.applied++) {
                gateway.ledger.apply(gateway.applied + 1, log.get(gateway.applied));
            }
        }
        Map<Long, Integer> inFlight = new TreeMap<>();
        for (Connection connection : new ArrayList<>(gateway.connections)) {
            // An idle connection stays open for reuse unless the gateway holds too many or the
            // connection has been idle for most of the linger time.
            if (connection.busyUntilMs > nowMs) {
                inFlight.merge(connection.account, 1, Integer::sum);
            } else if (gateway.budget.excessConnections(connection.server, ownNowMs) > 0
                    || nowMs >= connection.sentMs + LINGER_MS * 3 / 4) {
                gateway.connections.remove(connection);
                gateway.budget.connectionClosed(connection.server);
            }
        }
        gateway.demands.forEach(
                (account, demand) -> {
                    gateway.budget.reportDemand(account, demand);
                    for (int attempts = inFlight.getOrDefault(account, 0);
                            attempts < demand
                                    && attempts < gateway.budget.attemptLimit(account, ownNowMs);
                            attempts++) {
                        Connection available = null;
                        for (Connection connection : gateway.connections) {
                            available =
                                    connection.busyUntilMs <= nowMs
                                                    && gateway.budget.excessConnections(
                                                                    connection.server, ownNowMs)
                                                            == 0
                                            ? connection
                                            : available;
                        }
                        for (String server : capacities.keySet()) {
                            if (available == null
                                    && gateway.connections.stream()
                                                    .filter(
                                                            connection ->
                                                                    connection.server.equals(
                                                                            server))
                                                    .count()
                                            < gateway.budget.connectionLimit(server, ownNowMs)) {
                                available = new Connection(server);
                                gateway.connections.add(available);
                                gateway.budget.connectionOpened(server);
                            }
                        }
                        if (available == null) {
                            return;
                        }
                        available.account = account;
                        available.sentMs = nowMs;
                        available.busyUntilMs = nowMs + 20 + random.nextInt((int) SERVICE_MS - 20);
                    }
                });
        gateway.budget.nextEntries(ownNowMs).forEach(entry -> append(gateway, entry));
        if (gateway.number == leader || injectsFaults && gateway.number == staleLeader) {
            byte[] entry = gateway.proposer.propose(gateway.ledger, ownNowMs);
            if (entry != null) {
                append(gateway, entry);
            }
        }
    }

    /** Connections that an account uses, including those whose response has just arrived. */
    int attemptsInFlight(long account) {
        int count = 0;
        for (Gateway gateway : gateways) {
            count +=
                    (int)
                            gateway.connections.stream()
                                    .filter(
                                            connection ->
                                                    connection.busyUntilMs > nowMs - STEP_MS
                                                            && connection.account == account)
                                    .count();
        }
        return count;
    }

    /** Attempts granted to an account through all gateways, by the leader's ledger. */
    int granted(long account) {
        BudgetLedger ledger = gateways.get(leader).ledger;
        return ledger.table.holders.values().stream()
                .mapToInt(holder -> holder.accountGrants.getOrDefault(account, 0))
                .sum();
    }
}
