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
 * A fleet in driven time: gateways with their ledgers, a log that loses, doubles and delays what is
 * offered, servers that count.
 */
final class SimulatedBudgetFleet {
    static final double LEASE = 3000;
    static final double MARGIN = 300;
    static final double APART = 200;
    static final double LINGER = 1500;
    static final double SERVICE = 300;
    static final double EVERY = 250;
    static final double KEEP = 1500;
    static final double STEP = 10;

    /** A connection as its server sees it. */
    static final class Conn {
        final String server;
        double sent;
        double busy;
        long account;

        Conn(String server) {
            this.server = server;
        }
    }

    final class Gateway {
        final int number;
        final double offset;
        BudgetLedger ledger;
        LocalBudget share;
        GrantProposer proposer;
        final List<Conn> conns = new ArrayList<>();
        final Map<Long, Integer> wants = new TreeMap<>();
        int applied;
        double pausedUntil;
        double cutUntil;
        double deadUntil;

        Gateway(int number, double offset) {
            this.number = number;
            this.offset = offset;
            start(0);
        }

        void start(double linger) {
            ledger = ledgers.apply(staticShares);
            applied = 0;
            double own = now + offset;
            share = shares.make(ledger, new Incarnation(number, (long) own), own + linger);
            proposer = new GrantProposer(plans, EVERY);
            // Half of those that start are handed a snapshot of another's.
            Gateway other = linger > 0 ? gateways.get((number + 1) % gateways.size()) : this;
            if (other != this && other.ledger != null && random.nextBoolean()) {
                ledger.restore(other.applied, other.ledger.snapshot());
                applied = other.applied;
            }
        }

        boolean runs() {
            return now >= pausedUntil && now >= deadUntil;
        }
    }

    interface Make {
        LocalBudget make(BudgetLedger ledger, Incarnation incarnation, double staticFrom);
    }

    final Random random;
    final Map<String, Integer> offers = new LinkedHashMap<>();

    /** Highest offer lately, as what it was can't come back at once; and until when. */
    private final Map<String, double[]> lately = new LinkedHashMap<>();

    final List<Gateway> gateways = new ArrayList<>();
    final List<Conn> orphans = new ArrayList<>();
    final List<byte[]> log = new ArrayList<>();
    private final TreeMap<Double, List<byte[]>> coming = new TreeMap<>();
    final StaticShares staticShares;
    final LongFunction<GrantProposer.Plan> plans;
    Function<StaticShares, BudgetLedger> ledgers;
    Make shares;
    boolean faults;
    double now = 1_000_000;
    double noMajorityUntil;
    int leader;
    int otherLeader;
    long appended;
    int worst = Integer.MIN_VALUE;
    double used;
    double couldUse;

    SimulatedBudgetFleet(
            long seed,
            int size,
            Map<String, Integer> offers,
            double part,
            LongFunction<GrantProposer.Plan> plans,
            Function<StaticShares, BudgetLedger> ledgers,
            Make shares) {
        random = new Random(seed);
        this.offers.putAll(offers);
        this.plans = plans;
        staticShares = new StaticShares(offers, part, size);
        this.ledgers = ledgers != null ? ledgers : s -> new BudgetLedger(leases(size), s);
        this.shares = shares != null ? shares : this::share;
        for (int g = 0; g < size; g++) {
            gateways.add(new Gateway(g, size == 1 ? 0 : (g % 3 - 1) * APART / 2));
        }
        offers.forEach((s, n) -> log.add(new LedgerEntry.CapacityOffer(s, 1, n, now).encode()));
    }

    static LeaseTable leases(int size) {
        return new LeaseTable(size, LEASE, APART, LINGER);
    }

    LocalBudget share(BudgetLedger ledger, Incarnation incarnation, double staticFrom) {
        return new LocalBudget(
                ledger, staticShares, plans, incarnation, LEASE, MARGIN, EVERY, KEEP, staticFrom);
    }

    void offer(String server, int offer, long start) {
        double[] l = lately.computeIfAbsent(server, s -> new double[2]);
        if (offer < offers.get(server)) {
            l[0] = Math.max(now < l[1] ? l[0] : 0, offers.get(server));
            l[1] = now + 4 * EVERY + 2 * (LEASE + APART + LINGER);
        }
        offers.put(server, offer);
        log.add(new LedgerEntry.CapacityOffer(server, start, offer, now).encode());
    }

    private void append(Gateway from, byte[] entry) {
        appended++;
        boolean lost =
                now < noMajorityUntil || now < from.cutUntil || faults && random.nextInt(12) == 0;
        if (!lost || faults && random.nextInt(8) == 0) {
            boolean late = faults && random.nextInt(12) == 0;
            put(entry, late || lost ? 200 + random.nextInt(4000) : 5 + random.nextInt(40));
            if (faults && random.nextInt(12) == 0) {
                put(entry, random.nextInt(5000));
            }
        }
    }

    private void put(byte[] entry, double after) {
        coming.computeIfAbsent(now + after, k -> new ArrayList<>()).add(entry);
    }

    private void fault() {
        Gateway g = gateways.get(random.nextInt(gateways.size()));
        double span = 100 + random.nextInt(9000);
        switch (random.nextInt(8)) {
            case 0, 1 -> g.pausedUntil = now + span;
            case 2, 3 -> g.cutUntil = now + span;
            case 4 -> {
                orphans.addAll(g.conns);
                g.conns.clear();
                g.deadUntil = now + 1 + random.nextInt(400);
                g.pausedUntil = 0;
                g.ledger = null;
            }
            case 5 -> noMajorityUntil = now + span / 2;
            case 6 -> wrong(g);
            default -> {
                otherLeader = leader;
                leader = g.number;
            }
        }
    }

    /** One that leads wrongly gives someone far too much, out of the newest state. */
    private void wrong(Gateway g) {
        if (g.ledger != null && !g.ledger.table.holders.isEmpty()) {
            List<LedgerEntry.GrantLine> lines = new ArrayList<>();
            for (Incarnation incarnation : g.ledger.table.holders.keySet()) {
                lines.add(
                        new LedgerEntry.GrantLine(
                                incarnation, random.nextInt(offers.size()), random.nextInt(60)));
            }
            log.add(new LedgerEntry.Grant(log.size(), now + g.offset, lines, List.of()).encode());
        }
    }

    void run(double span) {
        for (double end = now + span; now < end; now += STEP) {
            step();
        }
    }

    void step() {
        if (faults && random.nextInt(60) == 0) {
            fault();
        }
        while (now >= noMajorityUntil && !coming.isEmpty() && coming.firstKey() <= now) {
            log.addAll(coming.pollFirstEntry().getValue());
        }
        if (!leads(gateways.get(leader))) {
            gateways.stream().filter(this::leads).findFirst().ifPresent(g -> leader = g.number);
        }
        if (now < noMajorityUntil || !leads(gateways.get(leader))) {
            lately.values().forEach(l -> l[1] += STEP);
        }
        orphans.removeIf(c -> now >= c.sent + LINGER);
        for (Gateway g : gateways) {
            if (g.ledger == null && now >= g.deadUntil) {
                g.start(LINGER);
            }
            if (g.runs()) {
                run(g);
            } else {
                g.conns.removeIf(
                        c -> {
                            boolean closed = now >= c.sent + LINGER;
                            if (closed && g.share != null) {
                                g.share.connectionClosed(c.server);
                            }
                            return closed;
                        });
            }
        }
        for (Map.Entry<String, Integer> e : offers.entrySet()) {
            double[] l = lately.get(e.getKey());
            int most = l != null && now < l[1] ? (int) Math.max(e.getValue(), l[0]) : e.getValue();
            worst = Math.max(worst, count(e.getKey()) - most);
        }
    }

    private boolean leads(Gateway g) {
        return g.ledger != null && g.runs() && now >= g.cutUntil;
    }

    int count(String server) {
        int n = (int) orphans.stream().filter(c -> c.server.equals(server)).count();
        for (Gateway g : gateways) {
            n += (int) g.conns.stream().filter(c -> c.server.equals(server)).count();
        }
        return n;
    }

    private void run(Gateway g) {
        double own = now + g.offset;
        if (now >= g.cutUntil && now >= noMajorityUntil) {
            // A replica may be some entries behind.
            int to = faults && random.nextInt(3) == 0 ? g.applied : log.size();
            for (; g.applied < to; g.applied++) {
                g.ledger.apply(g.applied + 1, log.get(g.applied));
            }
        }
        Map<Long, Integer> out = new TreeMap<>();
        for (Conn c : new ArrayList<>(g.conns)) {
            // One that waits in use goes to its account again while both may; else it rests.
            if (c.busy > now) {
                out.merge(c.account, 1, Integer::sum);
            } else if (g.share.excessConnections(c.server, own) > 0
                    || now >= c.sent + LINGER * 3 / 4) {
                g.conns.remove(c);
                g.share.connectionClosed(c.server);
            }
        }
        g.wants.forEach(
                (a, want) -> {
                    g.share.reportDemand(a, want);
                    for (int n = out.getOrDefault(a, 0);
                            n < want && n < g.share.attemptLimit(a, own);
                            n++) {
                        Conn conn = null;
                        for (Conn c : g.conns) {
                            conn =
                                    c.busy <= now && g.share.excessConnections(c.server, own) == 0
                                            ? c
                                            : conn;
                        }
                        for (String s : offers.keySet()) {
                            if (conn == null
                                    && g.conns.stream().filter(c -> c.server.equals(s)).count()
                                            < g.share.connectionLimit(s, own)) {
                                conn = new Conn(s);
                                g.conns.add(conn);
                                g.share.connectionOpened(s);
                            }
                        }
                        if (conn == null) {
                            return;
                        }
                        conn.account = a;
                        conn.sent = now;
                        conn.busy = now + 20 + random.nextInt((int) SERVICE - 20);
                    }
                });
        g.share.nextEntries(own).forEach(e -> append(g, e));
        if (g.number == leader || faults && g.number == otherLeader) {
            byte[] entry = g.proposer.propose(g.ledger, own);
            if (entry != null) {
                append(g, entry);
            }
        }
    }

    /** Connections in use by an account, also those whose answer just came. */
    int out(long account) {
        int n = 0;
        for (Gateway g : gateways) {
            n +=
                    (int)
                            g.conns.stream()
                                    .filter(c -> c.busy > now - STEP && c.account == account)
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
