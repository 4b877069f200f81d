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
 * One gateway's part in its fleet: what the operator file asks for, made once and called on the I/O
 * thread from then on.
 */
final class FleetMember implements FleetExtension {
    private static final System.Logger LOG = System.getLogger("tinford.fleet");
    private static final double TICK = 50;
    private static final double MOST_LEAVING = 700; // two rounds, and the way through the log
    private static final int MOST_BYTES = 256;
    private static final int LOSSY_CAPACITY = 128;
    private static final int LOSSLESS_CAPACITY = 1024;
    private final OperatorFile operatorFile;
    private final GatewaySettings gatewaySettings;
    private final String historyPath;
    private final double offset;
    private Incarnation incarnation;
    private HistoryWriter history;
    private IoThreadMailbox mailbox;
    private GossipMembership members;
    private Transport transport;
    private FleetOverloadPolicy overload;
    private CombinedFleetPolicy view;
    private final MigrationSettings moves; // null where they are off
    private MigrationCoordinator mover;
    private ReplicatedState replicatedState; // null where nothing needs agreement
    private Consumer<Catalog> useCatalog;
    private GatewayConfiguration configuration; // null where it is off
    private boolean led;
    private boolean holds;
    private int mayHold = -1; // at all servers
    private int seq;
    private double last;
    private int living = -1;
    private boolean strained;

    FleetMember(
            OperatorFile operatorFile,
            MigrationSettings moves,
            GatewaySettings gatewaySettings,
            String historyPath) {
        this.moves = moves;
        this.operatorFile = operatorFile;
        this.gatewaySettings = gatewaySettings;
        this.historyPath = historyPath;
        this.offset =
                Double.parseDouble(
                        System.getProperty(
                                "tinford.clock.offset_ms",
                                "0")); // for tests: a clock that is apart
    }

    /** This machine's wall clock; never steps back. */
    private double now() {
        last = Math.max(last, System.currentTimeMillis() + offset);
        return last;
    }

    @Override
    public void setCatalogConsumer(Consumer<Catalog> use) {
        useCatalog = use;
    }

    /** Starts from the last good configuration, and follows the control servers from then on. */
    private void startConfiguration(GatewayIdentity place, Consumer<EventLoop.Task> enter) {
        ConfigurationSettings settings = ConfigurationSettings.of(operatorFile);
        if (settings == null) {
            return;
        }
        CatalogBuilder catalogs =
                new CatalogBuilder(
                        moves == null ? Set.of() : moves.homes().keySet(),
                        Runtime.getRuntime().maxMemory());
        configuration =
                new GatewayConfiguration(
                        settings,
                        gatewaySettings.followerId(place),
                        new SplittableRandom(gatewaySettings.seed() + incarnation.start()),
                        catalogs,
                        useCatalog,
                        enter,
                        new ConfigurationHistory(history, this::now));
        configuration.start();
    }

    @Override
    public FleetPolicy join(GatewayIdentity place, Consumer<EventLoop.Task> enter)
            throws IOException {
        double now = now();
        incarnation = new Incarnation(place.number(), (long) now);
        mailbox =
                new IoThreadMailbox(
                        LOSSY_CAPACITY, LOSSLESS_CAPACITY, what -> enter.accept(what::run));
        double every = operatorFile.number("talk.every_ms");
        double suspect = operatorFile.number("talk.suspect_ms");
        members =
                new GossipMembership(
                        incarnation,
                        place.gatewayCount(),
                        every,
                        (int) operatorFile.number("talk.fanout"),
                        suspect,
                        suspect,
                        new Random(gatewaySettings.seed()));
        overload =
                new FleetOverloadPolicy(
                        now,
                        incarnation,
                        operatorFile.number("overload.window_ms"),
                        operatorFile.number("overload.further_part"),
                        new Random(gatewaySettings.seed() + 1));
        if (operatorFile.on("budgets.on") || operatorFile.on("moves.on")) {
            replicatedState =
                    new ReplicatedState(
                            operatorFile,
                            incarnation,
                            place.gatewayCount(),
                            ReplicatedState.staticShares(operatorFile, place.gatewayCount()),
                            moves == null ? Map.of() : moves.homes(),
                            mailbox);
        }
        history = HistoryWriter.at(historyPath, incarnation);
        if (moves != null) {
            mover =
                    new MigrationCoordinator(
                            replicatedState.stateMachine,
                            incarnation,
                            moves,
                            replicatedState::append,
                            replicatedState::left,
                            history);
            replicatedState.applied = entry -> mover.applied(entry, now());
            new MigrationCommandFile(
                            Path.of(operatorFile.text("log.folder")),
                            mailbox,
                            (line, then) -> mover.command(line, now(), then))
                    .start();
        }
        view =
                new CombinedFleetPolicy(
                        operatorFile.on("overload.on") ? overload : null,
                        operatorFile.on("budgets.on") ? replicatedState : null,
                        mover,
                        replicatedState,
                        this::now,
                        srv -> history.add(now(), "try", "server", srv.id));
        if (gatewaySettings.mayGossip()) {
            transport =
                    new UdpTransport(
                            place.number(),
                            gatewaySettings.listen(),
                            gatewaySettings.peers(),
                            MOST_BYTES,
                            (from, message) ->
                                    mailbox.offer(() -> members.heard(message, from, now())));
        }
        history.add(now, "start");
        startConfiguration(place, enter);
        if (replicatedState != null) {
            history.add(now, "term", "holds", false);
        }
        LOG.log(
                Level.INFO,
                "one of a fleet of "
                        + place.gatewayCount()
                        + (transport == null
                                ? "; the settings allow no messages between gateways"
                                : ""));
        return view;
    }

    @Override
    public void tick() {
        double now = now();
        members.own(overload.record(seq++), now);
        if (transport != null) {
            members.round(now, transport);
        }
        overload.round(now, members);
        if (replicatedState != null) {
            replicatedState.tick(now);
        }
        if (mover != null) {
            mover.tick(now, replicatedState.leads());
        }
        tell(now);
    }

    /** What changed is told in the log and the history. */
    private void tell(double now) {
        if (members.living() != living) {
            living = members.living();
            LOG.log(Level.INFO, "of the fleet live " + members.all());
            history.add(now, "living", "who", members.all());
        }
        if (replicatedState != null && replicatedState.leads() != led) {
            led = replicatedState.leads();
            history.add(now, "leads", "on", led);
        }
        if (replicatedState != null) {
            if (replicatedState.holds(now) != holds) {
                holds = !holds;
                LOG.log(
                        Level.INFO,
                        holds ? "acts on its lease" : "holds no lease: the static share only");
                history.add(now, "term", "holds", holds);
            }
            int may = replicatedState.mayHold(now);
            if (may != mayHold) {
                mayHold = may;
                history.add(now, "grant", "all", may);
            }
        }
        boolean on = operatorFile.on("overload.on") && overload.threshold() > 0;
        if (on != strained) {
            strained = on;
            history.add(now, "strained", "on", strained);
            LOG.log(
                    Level.INFO,
                    strained
                            ? "the fleet is strained: what is worth less than "
                                    + overload.threshold()
                                    + " a unit is shed"
                            : "the fleet is strained no more");
            history.add(
                    now, "line", "worth", overload.threshold(), "part", overload.partAtThreshold());
        }
    }

    @Override
    public double tickIntervalMs() {
        return TICK;
    }

    @Override
    public void onDrainStarted() {
        if (configuration != null) {
            configuration.close();
        }
        history.add(now(), "leaves");
        if (replicatedState != null) {
            replicatedState.leaves();
        }
    }

    @Override
    public void onDrained() {
        if (replicatedState == null) {
            return;
        }
        view.over();
        try {
            replicatedState.awaitLeft(MOST_LEAVING);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
