package tinford.fleet.run;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import tinford.api.Server;
import tinford.api.Tenant;
import tinford.fleet.budget.GrantProposer;
import tinford.fleet.budget.LedgerEntry;
import tinford.fleet.budget.LocalBudget;
import tinford.fleet.budget.StaticShares;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.store.RaftLog;
import tinford.fleet.store.ReplicatedLog;
import tinford.routing.Addresses;

/**
 * The replicated state of the fleet as one process has it: its log, the state machine that reads
 * the log, and what this process asks of it. Made off the I/O thread, called on it from then on.
 */
final class ReplicatedState {
    private static final System.Logger LOG = System.getLogger("tinford.fleet");
    private static final double ROUND =
            250; // entries of a gateway come no faster than two in this time
    private static final double KEEP = 2000; // what was wanted lately is wanted still
    private static final int MOST_SERVERS = 1024;
    private static final int OFFERS_A_ROUND = 64;
    private static final RaftLog.Bounds BOUNDS = new RaftLog.Bounds(2000, 256, 64 << 10, 5000, 400);

    /**
     * A key of an account holds its plan's weight above the rest, so that every gateway divides by
     * it. Customers of one weight share so many accounts: where more of them are awake than there
     * are connections, whole ones can't be divided among all.
     */
    private static final int WEIGHT_AT = 40;

    final FleetStateMachine stateMachine;
    private final LocalBudget share;
    private final GrantProposer proposer;
    private final int offer;
    private final int accounts;
    private double nextOffers;

    /** Those asked for lately. */
    private final Map<String, Server> servers =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Server> eldest) {
                    return size() > MOST_SERVERS;
                }
            };

    private final CountDownLatch left = new CountDownLatch(1);
    private final FileChannel
            lock; // held for this incarnation: one that nobody holds is closed, and its lock goes
    // with it
    private volatile ReplicatedLog log;
    private boolean led;

    /** Is told of each entry that was applied on the I/O thread, and of a snapshot as null. */
    Consumer<byte[]> applied = entry -> {};

    ReplicatedState(
            OperatorFile operatorFile,
            Incarnation incarnation,
            int gateways,
            StaticShares staticShares,
            Map<String, String> homes,
            IoThreadMailbox mailbox)
            throws IOException {
        double leaseMs = operatorFile.number("log.term_ms");
        double apart = operatorFile.number("log.clocks_apart_ms");
        double linger = operatorFile.number("log.linger_ms");
        offer = (int) operatorFile.number("budgets.offer");
        accounts = (int) operatorFile.number("budgets.accounts");
        stateMachine = new FleetStateMachine(gateways, leaseMs, apart, linger, staticShares, homes);
        int floor = (int) operatorFile.number("budgets.floor");
        int cap = (int) operatorFile.number("budgets.cap");
        proposer =
                new GrantProposer(
                        key -> new GrantProposer.Plan((int) (key >> WEIGHT_AT), floor, cap), ROUND);
        Path folder = Files.createDirectories(Path.of(operatorFile.text("log.folder")));
        lock =
                FileChannel.open(
                        folder.resolve("life.lock"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        boolean alone = lock.tryLock() != null;
        share =
                new LocalBudget(
                        stateMachine.ledger,
                        staticShares,
                        key -> new GrantProposer.Plan((int) (key >> WEIGHT_AT), floor, cap),
                        incarnation,
                        leaseMs,
                        2 * apart,
                        ROUND,
                        KEEP,
                        alone ? incarnation.start() : incarnation.start() + linger);
        FleetStateMachine snapshotSource =
                new FleetStateMachine(
                        gateways,
                        leaseMs,
                        apart,
                        linger,
                        staticShares(operatorFile, gateways),
                        homes);
        TreeMap<Integer, InetSocketAddress> members = new TreeMap<>();
        List<String> addresses = operatorFile.texts("log.members");
        for (int i = 0; i < addresses.size(); i++) {
            members.put(i, Addresses.of(addresses.get(i)));
        }
        Thread starts =
                new Thread(
                        () -> {
                            try {
                                log =
                                        new RaftLog(
                                                incarnation.gateway(),
                                                members,
                                                folder.resolve("log"),
                                                reader(snapshotSource, mailbox),
                                                BOUNDS);
                            } catch (IOException | RuntimeException e) {
                                LOG.log(
                                        Level.ERROR,
                                        "no part in the fleet's log, so only the static share is"
                                                + " held: "
                                                + e);
                            }
                        },
                        "log start");
        starts.setDaemon(true);
        starts.start();
    }

    static StaticShares staticShares(OperatorFile operatorFile, int gateways) {
        return new StaticShares(
                Map.of(),
                (int) operatorFile.number("budgets.offer"),
                operatorFile.number("budgets.static_part"),
                gateways);
    }

    /**
     * The one on the log's thread answers for snapshots; the one on the I/O thread follows it, and
     * holds it back where it can't.
     */
    private ReplicatedLog.StateMachine reader(
            FleetStateMachine snapshotSource, IoThreadMailbox mailbox) {
        return new ReplicatedLog.StateMachine() {
            @Override
            public void apply(long index, byte[] entry) {
                snapshotSource.apply(index, entry);
                post(
                        () -> {
                            stateMachine.apply(index, entry);
                            applied.accept(entry);
                        });
            }

            @Override
            public byte[] snapshot() {
                return snapshotSource.snapshot();
            }

            @Override
            public void restore(long index, byte[] snapshot) {
                snapshotSource.restore(index, snapshot);
                post(
                        () -> {
                            stateMachine.restore(index, snapshot);
                            applied.accept(null);
                        });
            }

            private void post(Runnable what) {
                try {
                    mailbox.put(what);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        };
    }

    /**
     * Offers an entry; what is lost is offered again by whoever wants it, from what the log has
     * come to.
     */
    CompletableFuture<Long> append(byte[] entry) {
        ReplicatedLog to = log;
        return to == null ? CompletableFuture.completedFuture(0L) : to.append(entry);
    }

    void tick(double now) {
        if (share.left()) {
            return;
        }
        for (byte[] entry : share.round(now)) {
            CompletableFuture<Long> taken = append(entry);
            if (share.left()) {
                taken.whenComplete((index, e) -> left.countDown());
            }
        }
        boolean leads = log != null && log.isLeader();
        if (leads != led) {
            led = leads;
            LOG.log(Level.INFO, leads ? "leads the fleet's log" : "leads the fleet's log no more");
        }
        if (!leads) {
            return;
        }
        int told = now < nextOffers ? OFFERS_A_ROUND : 0;
        nextOffers = told > 0 ? nextOffers : now + ROUND;
        for (Server s : servers.values()) {
            if (told < OFFERS_A_ROUND && stateMachine.ledger.number(s.id) < 0) {
                told++;
                append(new LedgerEntry.Offer(s.id, (long) s.startedAtMs(), offer, now).bytes());
            }
        }
        byte[] grant = proposer.propose(stateMachine.ledger, now);
        if (grant != null) {
            append(grant);
        }
    }

    /** Whether its share was told as left: nothing more is asked of the log. */
    boolean left() {
        return share.left();
    }

    boolean leads() {
        return led;
    }

    int mayHold(Server srv, double now) {
        servers.put(srv.id, srv);
        return share.mayHold(srv.id, now);
    }

    long key(Tenant c) {
        return Math.max(1, Math.min(1000, Math.round(10 * c.plan.priorityWeight))) << WEIGHT_AT
                | Math.floorMod(c.id, accounts);
    }

    /**
     * One at least: an account that was granted none meets the others at what connections there
     * are.
     */
    int mayUse(long account, double now) {
        return Math.max(1, share.mayUse(account, now));
    }

    void wanted(long account, int dispatches) {
        share.wanted(account, dispatches);
    }

    void opened(Server srv) {
        share.opened(srv.id);
    }

    void closed(Server srv) {
        share.closed(srv.id);
    }

    void leaves() {
        share.leaves();
    }

    /** Whether it acts on its lease, or on its static share only. */
    boolean holds(double now) {
        return share.holds(now);
    }

    /**
     * Connections that it may hold at all servers that it has asked of: static ones and granted
     * ones.
     */
    int mayHold(double now) {
        int all = 0;
        for (String id : servers.keySet()) {
            all += share.mayHold(id, now);
        }
        return all;
    }

    /** From any thread: until the log has the entry that it left, for so long at most. */
    void awaitLeft(double ms) throws InterruptedException {
        left.await((long) ms, TimeUnit.MILLISECONDS);
    }
}
