package tinford.fleet.run;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import tinford.api.FleetPolicy;
import tinford.api.GatewayIdentity;
import tinford.fleet.membership.GossipMembership;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.overload.FleetOverloadPolicy;
import tinford.fleet.transport.Transport;
import tinford.fleet.transport.UdpTransport;
import tinford.program.FleetExtension;
import tinford.routing.catalog.Catalog;
import tinford.transport.EventLoop;

/**
 * One gateway's membership in its fleet: creates the parts that the operator file turns on, and
 * drives them from the I/O thread.
 */
final class FleetMember implements FleetExtension {
    private static final System.Logger LOG = System.getLogger("tinford.fleet");
    private static final double TICK_INTERVAL_MS = 50;

    /** Two rounds of entries, and their way through the log. */
    private static final double DEPARTURE_TIMEOUT_MS = 700;

    private static final int MAX_MESSAGE_BYTES = 256;
    private static final int LOSSY_CAPACITY = 128;
    private static final int LOSSLESS_CAPACITY = 1024;

    private final OperatorFile operatorFile;

    /** Null where migrations are off. */
    private final MigrationSettings migrationSettings;

    private final GatewaySettings gatewaySettings;
    private final String historyPath;
    private final WallClock clock = new WallClock();
    private Consumer<Catalog> useCatalog;
    private Incarnation incarnation;
    private HistoryWriter history;
    private IoThreadMailbox mailbox;
    private GossipMembership membership;
    private FleetOverloadPolicy overload;
    private CombinedFleetPolicy policy;
    private FleetStatusReporter reporter;

    /** Null where gossip is off. */
    private Transport transport;

    /** Null where neither budgets nor migrations are on. */
    private ReplicatedState replicatedState;

    /** Null where migrations are off. */
    private MigrationCoordinator migration;

    /** Null where the gateway follows no control server. */
    private GatewayConfiguration configuration;

    private int recordSequence;

    /**
     * @param migrationSettings null where migrations are off
     * @param historyPath null or empty: no history is written
     */
    FleetMember(
            OperatorFile operatorFile,
            MigrationSettings migrationSettings,
            GatewaySettings gatewaySettings,
            String historyPath) {
        this.migrationSettings = migrationSettings;
        this.operatorFile = operatorFile;
        this.gatewaySettings = gatewaySettings;
        this.historyPath = historyPath;
    }

    @Override
    public void setCatalogConsumer(Consumer<Catalog> use) {
        useCatalog = use;
    }

    @Override
    public FleetPolicy join(GatewayIdentity identity, Consumer<EventLoop.Task> enter)
            throws IOException {
        double nowMs = clock.nowMs();
        incarnation = new Incarnation(identity.number(), (long) nowMs);
        mailbox =
                new IoThreadMailbox(
                        LOSSY_CAPACITY, LOSSLESS_CAPACITY, task -> enter.accept(task::run));
        membership = newMembership(identity.gatewayCount());
        overload = newOverload(nowMs);
        if (needsReplicatedState()) {
            replicatedState =
                    new ReplicatedState(
                            operatorFile, incarnation, identity.gatewayCount(), homeGroups());
        }
        history = HistoryWriter.at(historyPath, incarnation);
        startMigration();
        startLog(identity.gatewayCount());
        policy = newPolicy();
        startGossip(identity.number());
        history.add(nowMs, "start");
        startConfiguration(identity, enter);
        startReporter(nowMs);
        LOG.log(
                Level.INFO,
                "fleet member started gateways="
                        + identity.gatewayCount()
                        + " gossip="
                        + (transport != null));
        return policy;
    }

    private GossipMembership newMembership(int gateways) {
        double suspectAfterMs = operatorFile.number("talk.suspect_ms");
        return new GossipMembership(
                incarnation,
                gateways,
                operatorFile.number("talk.every_ms"),
                (int) operatorFile.number("talk.fanout"),
                suspectAfterMs,
                suspectAfterMs,
                new Random(gatewaySettings.seed()));
    }

    private FleetOverloadPolicy newOverload(double nowMs) {
        return new FleetOverloadPolicy(
                nowMs,
                incarnation,
                operatorFile.number("overload.window_ms"),
                operatorFile.number("overload.further_part"),
                new Random(gatewaySettings.seed() + 1));
    }

    private boolean needsReplicatedState() {
        return operatorFile.flag("budgets.on") || operatorFile.flag("moves.on");
    }

    private Map<String, String> homeGroups() {
        return migrationSettings == null ? Map.of() : migrationSettings.homeGroups();
    }

    private void startMigration() {
        if (migrationSettings == null) {
            return;
        }
        migration =
                new MigrationCoordinator(
                        replicatedState.stateMachine,
                        incarnation,
                        migrationSettings,
                        replicatedState::append,
                        replicatedState::hasLeft,
                        history);
        new MigrationCommandFile(
                        Path.of(operatorFile.text("log.folder")),
                        mailbox,
                        (line, callback) -> migration.command(line, clock.nowMs(), callback))
                .start();
    }

    private void startLog(int gateways) {
        if (replicatedState != null) {
            replicatedState.start(
                    operatorFile, incarnation, gateways, homeGroups(), logListener(), mailbox);
        }
    }

    private FleetLog.Listener logListener() {
        return new FleetLog.Listener() {
            @Override
            public void applied(byte[] entry) {
                if (migration != null) {
                    migration.applied(entry, clock.nowMs());
                }
            }

            @Override
            public void restored() {
                if (migration != null) {
                    migration.restored(clock.nowMs());
                }
            }
        };
    }

    private CombinedFleetPolicy newPolicy() {
        BudgetCoordinator connections = replicatedState == null ? null : replicatedState.budgets;
        return new CombinedFleetPolicy(
                operatorFile.flag("overload.on") ? overload : null,
                operatorFile.flag("budgets.on") ? connections : null,
                connections,
                migration,
                clock::nowMs,
                server -> history.add(clock.nowMs(), "try", "server", server.id));
    }

    private void startGossip(int gateway) throws IOException {
        if (gatewaySettings.mayGossip()) {
            transport =
                    new UdpTransport(
                            gateway,
                            gatewaySettings.listen(),
                            gatewaySettings.peers(),
                            MAX_MESSAGE_BYTES,
                            (from, message) ->
                                    mailbox.offer(
                                            () ->
                                                    membership.receive(
                                                            message, from, clock.nowMs())));
        }
    }

    /** Starts from the last good configuration, and then follows the control servers. */
    private void startConfiguration(GatewayIdentity identity, Consumer<EventLoop.Task> enter) {
        ConfigurationSettings settings = ConfigurationSettings.of(operatorFile);
        if (settings == null) {
            return;
        }
        Set<String> neededRoutes = homeGroups().keySet();
        configuration =
                new GatewayConfiguration(
                        settings,
                        gatewaySettings.followerId(identity),
                        new SplittableRandom(gatewaySettings.seed() + incarnation.start()),
                        new CatalogBuilder(neededRoutes, Runtime.getRuntime().maxMemory()),
                        useCatalog,
                        enter,
                        new ConfigurationHistory(history, clock::nowMs));
        configuration.start();
    }

    private void startReporter(double nowMs) {
        FleetOverloadPolicy reportedOverload = operatorFile.flag("overload.on") ? overload : null;
        reporter = new FleetStatusReporter(membership, replicatedState, reportedOverload, history);
        reporter.start(nowMs);
    }

    @Override
    public void tick() {
        double nowMs = clock.nowMs();
        membership.setOwnRecord(overload.record(recordSequence++), nowMs);
        if (transport != null) {
            membership.sendRound(nowMs, transport);
        }
        overload.update(nowMs, membership);
        if (replicatedState != null) {
            replicatedState.tick(nowMs);
        }
        if (migration != null) {
            migration.tick(nowMs, replicatedState.isLeader());
        }
        reporter.update(nowMs);
    }

    @Override
    public double tickIntervalMs() {
        return TICK_INTERVAL_MS;
    }

    @Override
    public void onDrainStarted() {
        if (configuration != null) {
            configuration.close();
        }
        history.add(clock.nowMs(), "leaves");
        if (replicatedState != null) {
            replicatedState.budgets.startLeaving();
        }
    }

    @Override
    public void onDrained() {
        if (replicatedState == null) {
            return;
        }
        policy.end();
        try {
            replicatedState.awaitDeparture(DEPARTURE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
