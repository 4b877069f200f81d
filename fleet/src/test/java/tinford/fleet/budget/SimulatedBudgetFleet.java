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
 * Gateways with their ledgers in driven time, over a log that loses, duplicates and delays what is
 * proposed, and servers that count connections.
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

    /** A connection as its server sees it. */
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
        double cutUntilMs;
        double deadUntilMs;

        Gateway(int number, double offset) {
            this.number = number;
            this.clockOffsetMs = offset;
            start(0);
        }

        void start(double linger) {
            ledger = ledgers.apply(staticShares);
            applied = 0;
            double own = nowMs + clockOffsetMs;
            budget = shares.make(ledger, new Incarnation(number, (long) own), own + linger);
            proposer = new GrantProposer(plans, INTERVAL_MS);
            // Half of those that start are handed a snapshot of another's.
            Gateway other = linger > 0 ? gateways.get((number + 1) % gateways.size()) : this;
            if (other != this && other.ledger != null && random.nextBoolean()) {
                ledger.restore(other.applied, other.ledger.snapshot());
                applied = other.applied;
            }
        }

        boolean runs() {
            return nowMs >= pausedUntilMs && nowMs >= deadUntilMs;
        }
    }

    interface BudgetFactory {
        LocalBudget make(BudgetLedger ledger, Incarnation incarnation, double staticFrom);
    }

    final Random random;
    final Map<String, Integer> capacities = new LinkedHashMap<>();

    /** Highest offer lately, as what it was can't come back at once; and until when. */
    private final Map<String, double[]> recentCapacities = new LinkedHashMap<>();

    final List<Gateway> gateways = new ArrayList<>();
    final List<Connection> orphanedConnections = new ArrayList<>();
    final List<byte[]> log = new ArrayList<>();
    private final TreeMap<Double, List<byte[]>> pendingEntries = new TreeMap<>();
    final StaticShares staticShares;
    final LongFunction<GrantProposer.Plan> plans;
    Function<StaticShares, BudgetLedger> ledgers;
    BudgetFactory shares;
    boolean faults;
    double nowMs = 1_000_000;
    double noMajorityUntilMs;
    int leader;
    int staleLeader;
    long appended;
    int worstExcess = Integer.MIN_VALUE;
    double used;
    double couldUse;

    SimulatedBudgetFleet(
            long seed,
            int size,
            Map<String, Integer> offers,
            double part,
            LongFunction<GrantProposer.Plan> plans,
            Function<StaticShares, BudgetLedger> ledgers,
            BudgetFactory shares) {
        random = new Random(seed);
        this.capacities.putAll(offers);
        this.plans = plans;
        staticShares = new StaticShares(offers, part, size);
        this.ledgers = ledgers != null ? ledgers : s -> new BudgetLedger(leases(size), s);
        this.shares = shares != null ? shares : this::share;
        for (int g = 0; g < size; g++) {
            gateways.add(new Gateway(g, size == 1 ? 0 : (g % 3 - 1) * CLOCK_SKEW_MS / 2));
        }
        offers.forEach((s, n) -> log.add(new LedgerEntry.CapacityOffer(s, 1, n, nowMs).encode()));
    }

    static LeaseTable leases(int size) {
        return new LeaseTable(size, LEASE_MS, CLOCK_SKEW_MS, LINGER_MS);
    }

    LocalBudget share(BudgetLedger ledger, Incarnation incarnation, double staticFrom) {
        return new LocalBudget(
                ledger,
                staticShares,
                plans,
                incarnation,
                LEASE_MS,
                MARGIN_MS,
                INTERVAL_MS,
                RETENTION_MS,
                staticFrom);
    }

    void offer(String server, int offer, long start) {
        double[] l = recentCapacities.computeIfAbsent(server, s -> new double[2]);
        if (offer < capacities.get(server)) {
            l[0] = Math.max(nowMs < l[1] ? l[0] : 0, capacities.get(server));
            l[1] = nowMs + 4 * INTERVAL_MS + 2 * (LEASE_MS + CLOCK_SKEW_MS + LINGER_MS);
        }
        capacities.put(server, offer);
        log.add(new LedgerEntry.CapacityOffer(server, start, offer, nowMs).encode());
    }

    private void append(Gateway from, byte[] entry) {
        appended++;
        boolean lost =
                nowMs < noMajorityUntilMs
                        || nowMs < from.cutUntilMs
                        || faults && random.nextInt(12) == 0;
        if (!lost || faults && random.nextInt(8) == 0) {
            boolean late = faults && random.nextInt(12) == 0;
            schedule(entry, late || lost ? 200 + random.nextInt(4000) : 5 + random.nextInt(40));
            if (faults && random.nextInt(12) == 0) {
                schedule(entry, random.nextInt(5000));
            }
        }
    }

    private void schedule(byte[] entry, double after) {
        pendingEntries.computeIfAbsent(nowMs + after, k -> new ArrayList<>()).add(entry);
    }

    private void fault() {
        Gateway g = gateways.get(random.nextInt(gateways.size()));
        double span = 100 + random.nextInt(9000);
        switch (random.nextInt(8)) {
            case 0, 1 -> g.pausedUntilMs = nowMs + span;
            case 2, 3 -> g.cutUntilMs = nowMs + span;
            case 4 -> {
                orphanedConnections.addAll(g.connections);
                g.connections.clear();
                g.deadUntilMs = nowMs + 1 + random.nextInt(400);
                g.pausedUntilMs = 0;
                g.ledger = null;
            }
            case 5 -> noMajorityUntilMs = nowMs + span / 2;
            case 6 -> appendWrongGrant(g);
            default -> {
                staleLeader = leader;
                leader = g.number;
            }
        }
    }

    /** One that leads wrongly gives someone far too much, out of the newest state. */
    private void appendWrongGrant(Gateway g) {
        if (g.ledger != null && !g.ledger.table.holders.isEmpty()) {
            List<LedgerEntry.GrantLine> lines = new ArrayList<>();
            for (Incarnation incarnation : g.ledger.table.holders.keySet()) {
                lines.add(
                        new LedgerEntry.GrantLine(
                                incarnation,
                                random.nextInt(capacities.size()),
                                random.nextInt(60)));
            }
            log.add(
                    new LedgerEntry.Grant(log.size(), nowMs + g.clockOffsetMs, lines, List.of())
                            .encode());
        }
    }

    void run(double span) {
        for (double end = nowMs + span; nowMs < end; nowMs += STEP_MS) {
            step();
        }
    }

    void step() {
        if (faults && random.nextInt(60) == 0) {
            fault();
        }
        while (nowMs >= noMajorityUntilMs
                && !pendingEntries.isEmpty()
                && pendingEntries.firstKey() <= nowMs) {
            log.addAll(pendingEntries.pollFirstEntry().getValue());
        }
        if (!mayLead(gateways.get(leader))) {
            gateways.stream().filter(this::mayLead).findFirst().ifPresent(g -> leader = g.number);
        }
        if (nowMs < noMajorityUntilMs || !mayLead(gateways.get(leader))) {
            recentCapacities.values().forEach(l -> l[1] += STEP_MS);
        }
        orphanedConnections.removeIf(c -> nowMs >= c.sentMs + LINGER_MS);
        for (Gateway g : gateways) {
            if (g.ledger == null && nowMs >= g.deadUntilMs) {
                g.start(LINGER_MS);
            }
            if (g.runs()) {
                run(g);
            } else {
                g.connections.removeIf(
                        c -> {
                            boolean closed = nowMs >= c.sentMs + LINGER_MS;
                            if (closed && g.budget != null) {
                                g.budget.connectionClosed(c.server);
                            }
                            return closed;
                        });
            }
        }
        for (Map.Entry<String, Integer> e : capacities.entrySet()) {
            double[] l = recentCapacities.get(e.getKey());
            int most =
                    l != null && nowMs < l[1] ? (int) Math.max(e.getValue(), l[0]) : e.getValue();
            worstExcess = Math.max(worstExcess, openConnections(e.getKey()) - most);
        }
    }

    private boolean mayLead(Gateway g) {
        return g.ledger != null && g.runs() && nowMs >= g.cutUntilMs;
    }

    int openConnections(String server) {
        int n = (int) orphanedConnections.stream().filter(c -> c.server.equals(server)).count();
        for (Gateway g : gateways) {
            n += (int) g.connections.stream().filter(c -> c.server.equals(server)).count();
        }
        return n;
    }

    private void run(Gateway g) {
        double own = nowMs + g.clockOffsetMs;
        if (nowMs >= g.cutUntilMs && nowMs >= noMajorityUntilMs) {
            // A replica may be some entries behind.
            int to = faults && random.nextInt(3) == 0 ? g.applied : log.size();
            for (; g.applied < to; g.applied++) {
                g.ledger.apply(g.applied + 1, log.get(g.applied));
            }
        }
        Map<Long, Integer> out = new TreeMap<>();
        for (Connection c : new ArrayList<>(g.connections)) {
            // One that waits in use goes to its account again while both may; else it rests.
            if (c.busyUntilMs > nowMs) {
                out.merge(c.account, 1, Integer::sum);
            } else if (g.budget.excessConnections(c.server, own) > 0
                    || nowMs >= c.sentMs + LINGER_MS * 3 / 4) {
                g.connections.remove(c);
                g.budget.connectionClosed(c.server);
            }
        }
        g.demands.forEach(
                (a, want) -> {
                    g.budget.reportDemand(a, want);
                    for (int n = out.getOrDefault(a, 0);
                            n < want && n < g.budget.attemptLimit(a, own);
                            n++) {
                        Connection conn = null;
                        for (Connection c : g.connections) {
                            conn =
                                    c.busyUntilMs <= nowMs
                                                    && g.budget.excessConnections(c.server, own)
                                                            == 0
                                            ? c
                                            : conn;
                        }
                        for (String s : capacities.keySet()) {
                            if (conn == null
                                    && g.connections.stream()
                                                    .filter(c -> c.server.equals(s))
                                                    .count()
                                            < g.budget.connectionLimit(s, own)) {
                                conn = new Connection(s);
                                g.connections.add(conn);
                                g.budget.connectionOpened(s);
                            }
                        }
                        if (conn == null) {
                            return;
                        }
                        conn.account = a;
                        conn.sentMs = nowMs;
                        conn.busyUntilMs = nowMs + 20 + random.nextInt((int) SERVICE_MS - 20);
                    }
                });
        g.budget.nextEntries(own).forEach(e -> append(g, e));
        if (g.number == leader || faults && g.number == staleLeader) {
            byte[] entry = g.proposer.propose(g.ledger, own);
            if (entry != null) {
                append(g, entry);
            }
        }
    }

    /** Connections in use by an account, also those whose answer just came. */
    int attemptsInFlight(long account) {
        int n = 0;
        for (Gateway g : gateways) {
            n +=
                    (int)
                            g.connections.stream()
                                    .filter(
                                            c ->
                                                    c.busyUntilMs > nowMs - STEP_MS
                                                            && c.account == account)
                                    .count();
        }
        return n;
    }

    /** Granted to an account through all that run. */
    int granted(long account) {
        BudgetLedger l = gateways.get(leader).ledger;
        return l.table.holders.values().stream()
                .mapToInt(h -> h.accountGrants.getOrDefault(account, 0))
                .sum();
    }
}
