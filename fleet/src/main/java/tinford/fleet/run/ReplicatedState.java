package tinford.fleet.run;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import tinford.fleet.budget.GrantProposer;
import tinford.fleet.budget.LocalBudget;
import tinford.fleet.budget.StaticShares;
import tinford.fleet.membership.Incarnation;
import tinford.routing.Addresses;

/**
 * The replicated state of the fleet in one process: its member of the log, the state that the log
 * leads to, and the entries that the process proposes. Created off the I/O thread, and called on it
 * from then on.
 */
final class ReplicatedState {
    private static final System.Logger LOG = System.getLogger("tinford.fleet");

    final FleetStateMachine stateMachine;
    final BudgetCoordinator budgets;
    private final FleetLog log = new FleetLog();
    private final IncarnationLock lock;
    private final CountDownLatch departureAppended = new CountDownLatch(1);
    private boolean leader;

    /**
     * Acquires the incarnation's lock and makes the state; {@link #start} joins the log.
     *
     * @param homeGroups the group of each frontend that may migrate
     * @throws IOException the log's folder can't be used
     */
    ReplicatedState(
            OperatorFile operatorFile,
            Incarnation incarnation,
            int gateways,
            Map<String, String> homeGroups)
            throws IOException {
        StaticShares staticShares = staticShares(operatorFile, gateways);
        stateMachine = newStateMachine(operatorFile, gateways, staticShares, homeGroups);
        lock = IncarnationLock.tryAcquire(Files.createDirectories(folder(operatorFile)));
        budgets = newBudgets(operatorFile, incarnation, staticShares);
    }

    private static Path folder(OperatorFile operatorFile) {
        return Path.of(operatorFile.text("log.folder"));
    }

    private static StaticShares staticShares(OperatorFile operatorFile, int gateways) {
        return new StaticShares(
                Map.of(),
                (int) operatorFile.number("budgets.offer"),
                operatorFile.number("budgets.static_part"),
                gateways);
    }

    private static FleetStateMachine newStateMachine(
            OperatorFile operatorFile,
            int gateways,
            StaticShares staticShares,
            Map<String, String> homeGroups) {
        return new FleetStateMachine(
                gateways,
                operatorFile.number("log.term_ms"),
                operatorFile.number("log.clocks_apart_ms"),
                operatorFile.number("log.linger_ms"),
                staticShares,
                homeGroups);
    }

    private BudgetCoordinator newBudgets(
            OperatorFile operatorFile, Incarnation incarnation, StaticShares staticShares) {
        int floor = (int) operatorFile.number("budgets.floor");
        int cap = (int) operatorFile.number("budgets.cap");
        LongFunction<GrantProposer.Plan> plans =
                account -> BudgetCoordinator.plan(account, floor, cap);
        double lingerMs = operatorFile.number("log.linger_ms");
        LocalBudget budget =
                new LocalBudget(
                        stateMachine.ledger,
                        staticShares,
                        plans,
                        incarnation,
                        operatorFile.number("log.term_ms"),
                        2 * operatorFile.number("log.clocks_apart_ms"),
                        BudgetCoordinator.ROUND_INTERVAL_MS,
                        BudgetCoordinator.DEMAND_RETENTION_MS,
                        lock.isAcquired() ? incarnation.start() : incarnation.start() + lingerMs);
        return new BudgetCoordinator(
                stateMachine.ledger,
                budget,
                new GrantProposer(plans, BudgetCoordinator.ROUND_INTERVAL_MS),
                (int) operatorFile.number("budgets.offer"),
                (int) operatorFile.number("budgets.accounts"));
    }

    /** Joins the log, on a thread of its own. */
    void start(
            OperatorFile operatorFile,
            Incarnation incarnation,
            int gateways,
            Map<String, String> homeGroups,
            FleetLog.Listener listener,
            IoThreadMailbox mailbox) {
        FleetStateMachine onLogThread =
                newStateMachine(
                        operatorFile, gateways, staticShares(operatorFile, gateways), homeGroups);
        log.start(
                incarnation.gateway(),
                memberAddresses(operatorFile),
                folder(operatorFile).resolve("log"),
                onLogThread,
                stateMachine,
                listener,
                mailbox);
    }

    private static SortedMap<Integer, InetSocketAddress> memberAddresses(
            OperatorFile operatorFile) {
        SortedMap<Integer, InetSocketAddress> addresses = new TreeMap<>();
        List<String> texts = operatorFile.texts("log.members");
        for (int number = 0; number < texts.size(); number++) {
            addresses.put(number, Addresses.of(texts.get(number)));
        }
        return addresses;
    }

    /** Proposes an entry; see {@link FleetLog#append}. */
    CompletableFuture<Long> append(byte[] entry) {
        return log.append(entry);
    }

    /** Proposes what is due. */
    void tick(double nowMs) {
        if (budgets.hasLeft()) {
            return;
        }
        for (byte[] entry : budgets.nextEntries(nowMs)) {
            CompletableFuture<Long> result = log.append(entry);
            if (budgets.hasLeft()) {
                result.whenComplete((index, failure) -> departureAppended.countDown());
            }
        }
        updateLeadership();
        if (leader) {
            budgets.leaderEntries(nowMs).forEach(log::append);
        }
    }

    private void updateLeadership() {
        boolean isLeader = log.isLeader();
        if (isLeader != leader) {
            leader = isLeader;
            LOG.log(Level.INFO, "fleet log leadership changed leader=" + leader);
        }
    }

    boolean isLeader() {
        return leader;
    }

    /** Whether this process has left the fleet, and proposes nothing more. */
    boolean hasLeft() {
        return budgets.hasLeft();
    }

    /** Waits, on any thread, until the departure is in the log, or until the timeout. */
    void awaitDeparture(double timeoutMs) throws InterruptedException {
        departureAppended.await((long) timeoutMs, TimeUnit.MILLISECONDS);
    }
}
