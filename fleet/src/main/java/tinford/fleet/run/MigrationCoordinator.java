package tinford.fleet.run;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import tinford.api.AttemptOutcome;
import tinford.api.Request;
import tinford.api.Server;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.Lease;
import tinford.fleet.migration.MigrationEntry;
import tinford.fleet.migration.MigrationPlan;
import tinford.fleet.migration.MigrationRouter;
import tinford.fleet.migration.MigrationState;
import tinford.fleet.migration.MigrationStatus;

/**
 * One process's part in staged migrations: where its requests may go, the acknowledgements and
 * reports that it appends to the log, and the next steps that it proposes while it leads. Called on
 * the I/O thread only. Times are in ms of the process's wall clock.
 */
final class MigrationCoordinator {
    private static final double ENTRY_INTERVAL_MS = 500;
    private static final double PROPOSAL_INTERVAL_MS = 1000;

    private final FleetStateMachine stateMachine;
    private final Incarnation incarnation;
    private final MigrationSettings settings;
    private final Consumer<byte[]> log;
    private final BooleanSupplier hasLeft;
    private final MigrationRouter router;
    private final WarmCapacity warmCapacity;
    private final MigrationCommands commands;
    private final MigrationHistory history;
    private double lastProposalMs = Double.NEGATIVE_INFINITY;

    /**
     * @param log appends an entry
     * @param hasLeft whether this process has left the fleet; from then on it acts on no lease
     */
    MigrationCoordinator(
            FleetStateMachine stateMachine,
            Incarnation incarnation,
            MigrationSettings settings,
            Consumer<byte[]> log,
            BooleanSupplier hasLeft,
            HistoryWriter history) {
        this.stateMachine = stateMachine;
        this.incarnation = incarnation;
        this.settings = settings;
        this.log = log;
        this.hasLeft = hasLeft;
        this.router =
                new MigrationRouter(
                        incarnation, stateMachine.migration.status(), ENTRY_INTERVAL_MS);
        this.warmCapacity = new WarmCapacity(settings.warmUpMs());
        this.commands =
                new MigrationCommands(stateMachine.migration, settings.plan(), log, history);
        this.history = new MigrationHistory(stateMachine.migration, incarnation, history);
    }

    /** The own lease as far as the log knows; null where there is none. */
    private Lease lease() {
        return hasLeft.getAsBoolean() ? null : stateMachine.leases.of(incarnation);
    }

    /** To be called after each applied entry, in log order. */
    void applied(byte[] entry, double nowMs) {
        updateRouter();
        commands.applied(entry);
        history.update(lease(), nowMs);
    }

    /** To be called after a snapshot was restored. */
    void restored(double nowMs) {
        updateRouter();
        history.update(lease(), nowMs);
    }

    /** Appends what is due. */
    void tick(double nowMs, boolean isLeader) {
        updateRouter();
        history.update(lease(), nowMs);
        MigrationEntry entry = router.nextEntry(nowMs);
        if (entry != null) {
            log.accept(entry.encode());
        }
        commands.expire(nowMs);
        if (isLeader && nowMs >= lastProposalMs + PROPOSAL_INTERVAL_MS) {
            proposeNextStep(nowMs);
        }
    }

    private void updateRouter() {
        MigrationState migration = stateMachine.migration;
        router.update(migration.status(), lease(), migration.hasAcknowledged(incarnation));
    }

    private void proposeNextStep(double nowMs) {
        MigrationStatus status = stateMachine.migration.status();
        boolean isReverting = status.state() == MigrationState.State.BACK;
        if (status.plan() == null
                || !isReverting && status.state() != MigrationState.State.FORWARD) {
            return;
        }
        lastProposalMs = nowMs;
        int nextStep = status.stepIndex() + (isReverting ? -1 : 1);
        double[] warmUnits = warmCapacity.unitsPerSecond(status.plan(), nowMs);
        log.accept(MigrationEntry.proposeStep(nowMs, status.epoch(), nextStep, warmUnits).encode());
    }

    /** Submits an operator's command; see {@link MigrationCommands#submit}. */
    void command(String line, double nowMs, Consumer<String> callback) {
        commands.submit(line, nowMs, callback);
    }

    /**
     * Whether a request may go to a server now.
     *
     * @param earlierServer where an earlier attempt may have run, or null
     */
    boolean allowsServer(Request request, Server server, Server earlierServer, double nowMs) {
        warmCapacity.observe(server);
        String earlierGroup = earlierServer == null ? null : earlierServer.group();
        return !hasLeft.getAsBoolean() && mayRoute(request, server.group(), earlierGroup, nowMs)
                || !mayMigrate(request);
    }

    /** Whether a request may go to any group now. */
    boolean isRoutable(Request request, double nowMs) {
        if (!mayMigrate(request)) {
            return true;
        }
        return !hasLeft.getAsBoolean()
                && groups(request).stream()
                        .anyMatch(group -> mayRoute(request, group, null, nowMs));
    }

    private boolean mayMigrate(Request request) {
        return settings.homeGroups().containsKey(request.requestClass.name);
    }

    private boolean mayRoute(Request request, String group, String earlierGroup, double nowMs) {
        return router.mayRoute(
                request.requestClass.name,
                request.tenant.id,
                request.markedAsRetry,
                group,
                earlierGroup,
                nowMs);
    }

    private List<String> groups(Request request) {
        String name = request.requestClass.name;
        MigrationStatus status = stateMachine.migration.status();
        int index = status.plan() == null ? -1 : status.plan().indexOf(name);
        if (index < 0) {
            return List.of(status.homeGroups().getOrDefault(name, ""));
        }
        MigrationPlan.FrontendMigration frontend = status.plan().frontends.get(index);
        return List.of(frontend.sourceGroup(), frontend.targetGroup());
    }

    /** Counts the answer of a server; an attempt that was given up says nothing of it. */
    void attemptEnded(Request request, Server server, AttemptOutcome outcome, boolean late) {
        if (outcome != AttemptOutcome.CANCELLED && outcome != AttemptOutcome.NOT_SENT) {
            router.recordAnswer(
                    request.requestClass.name,
                    server.group(),
                    outcome == AttemptOutcome.SUCCESS && !late);
        }
    }
}
