package tinford.fleet.config;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The state machine of a gateway that follows the configuration: it watches one control server at a
 * time and returns actions for its owner to perform, such as to connect, to apply an update or to
 * send a report.
 *
 * <p>The owner passes in each event with its time in ms of any monotonic clock, performs the
 * returned actions in order, and passes in their results as events. After a {@link
 * Action.Disconnect} or a new {@link Action.Connect} it passes in no more events of the earlier
 * watch. After {@link Action.Apply} or {@link Action.ApplySnapshot} no other such action is
 * returned until {@link #applyCompleted} is called; updates that arrive in the meantime are
 * combined. The active revision never decreases. Not thread-safe.
 */
public final class Follower {
    /** An action for the owner to perform. */
    public sealed interface Action {
        /** Open a watch, then call {@link Follower#watchOpened} or {@link Follower#watchClosed}. */
        record Connect(Endpoint endpoint, long afterRevision) implements Action {}

        /**
         * Close the watch or stop connecting; {@link Follower#watchClosed} is not called for it.
         */
        record Disconnect(String reason) implements Action {}

        /** Apply an update, then call {@link Follower#applyCompleted}. */
        record Apply(Update update, Configuration result) implements Action {}

        /** Replace the whole configuration, then call {@link Follower#applyCompleted}. */
        record ApplySnapshot(Configuration configuration) implements Action {}

        /** Send a report to the control server that is followed; no response is expected. */
        record Report(Endpoint endpoint, FollowerReport report) implements Action {}

        /** Log a one-line warning for the operators. */
        record Warn(String message) implements Action {}
    }

    /** How often {@link #tick} should be called. */
    public static final double TICK_INTERVAL_MS = 100;

    /** How long opening a watch may take. */
    public static final double CONNECT_TIMEOUT_MS = 2_500;

    /** How long a watch may be silent; control servers send a heartbeat each second. */
    public static final double HEARTBEAT_TIMEOUT_MS = 3_500;

    /** How long it may take to receive one line. */
    public static final double LINE_TIMEOUT_MS = 10_000;

    /** How often a report is sent while nothing changes. */
    public static final double REPORT_INTERVAL_MS = 10_000;

    /** The shortest time between two reports. */
    public static final double MIN_REPORT_GAP_MS = 250;

    /** A watch that has been open for this long resets the backoff. */
    static final double STABLE_WATCH_MS = 5_000;

    /** The shortest time that a server in another region is followed before returning. */
    static final double OWN_REGION_RETRY_MS = 60_000;

    /** Warnings about invalid messages of control servers are at least this far apart. */
    static final double WARNING_INTERVAL_MS = 60_000;

    private enum State {
        /** No watch is open; the next attempt to open one is due at {@code attemptAtMs}. */
        WAITING,
        CONNECTING,
        WATCHING
    }

    private final String id;
    private final String region;
    private final SnapshotCodec snapshots;
    private final EndpointRotation rotation;
    private final RandomGenerator random;
    private final FollowerConfigurations configurations;
    private final ReportSchedule reports;
    private final WatchLiveness liveness = new WatchLiveness();

    private State state = State.WAITING;
    private Endpoint endpoint;
    private double attemptAtMs = Double.NEGATIVE_INFINITY;
    private double ownRegionRetryAtMs;
    private double warnedAtMs = Double.NEGATIVE_INFINITY;

    /** Error in the last invalid message of a control server; null after a stable watch. */
    private String serverError;

    /**
     * Creates a follower; it does not connect before the first {@link #tick}.
     *
     * @param id id of the follower; the same after a restart
     * @param region region of the follower
     * @param fleetId id of the fleet; snapshots of other fleets are rejected
     * @param endpoints all control servers; those in the follower's region are preferred
     * @param initialConfiguration the active configuration at the start, from the last valid
     *     snapshot or {@link Configuration#EMPTY}
     * @throws IllegalArgumentException if the id or the region is not a valid name, or there are no
     *     endpoints
     */
    public Follower(
            String id,
            String region,
            String fleetId,
            List<Endpoint> endpoints,
            Configuration initialConfiguration,
            RandomGenerator random) {
        if (!RecordChecks.isName(id) || !RecordChecks.isName(region)) {
            throw new IllegalArgumentException(
                    "follower id and region: expected " + RecordChecks.EXPECTED_NAME);
        }
        this.id = id;
        this.region = region;
        this.snapshots = new SnapshotCodec(fleetId);
        this.rotation = new EndpointRotation(region, endpoints, random);
        this.random = random;
        this.configurations = new FollowerConfigurations(initialConfiguration);
        this.reports = new ReportSchedule(random);
    }

    /** The watch of the last {@link Action.Connect} has been opened. */
    public List<Action> watchOpened(double nowMs) {
        if (state != State.CONNECTING) {
            return List.of();
        }
        state = State.WATCHING;
        liveness.watchOpened(nowMs);
        ownRegionRetryAtMs = nowMs + OWN_REGION_RETRY_MS * (1 + random.nextDouble());
        return List.of(report(nowMs));
    }

    /**
     * A line was received.
     *
     * @param line the line without its line feed; an empty one is a heartbeat
     */
    public List<Action> lineReceived(byte[] line, double nowMs) {
        if (state != State.WATCHING) {
            return List.of();
        }
        liveness.lineReceived(nowMs);
        if (line.length == 0) {
            return List.of();
        }
        List<Action> actions = new ArrayList<>();
        try {
            receive(ConfigurationCodec.decodeWatchMessage(line));
            configurations.offer(actions);
        } catch (InvalidConfigurationException e) {
            rejectMessage(e.getMessage(), actions, nowMs);
        }
        return actions;
    }

    /** Part of a line was received, so that a long line on a slow link does not look silent. */
    public void partialLineReceived(double nowMs) {
        if (state == State.WATCHING) {
            liveness.partialLineReceived(nowMs);
        }
    }

    /** The watch could not be opened, or has ended. */
    public List<Action> watchClosed(String reason, double nowMs) {
        if (state != State.WAITING) {
            scheduleNextAttempt(nowMs);
        }
        return List.of();
    }

    /** The last {@link Action.Apply} or {@link Action.ApplySnapshot} has been performed. */
    public List<Action> applyCompleted(ApplyResult result, double nowMs) {
        if (!configurations.isPending()) {
            return List.of();
        }
        List<Action> actions = new ArrayList<>();
        if (result instanceof ApplyResult.Rejected rejected) {
            configurations.reject(rejected.reason());
            actions.add(new Action.Warn(configurations.rejectionReason()));
        } else {
            configurations.activate();
        }
        configurations.offer(actions);
        reportSoon(actions, nowMs);
        return actions;
    }

    /** Checks timeouts and sends due reports; called every {@link #TICK_INTERVAL_MS}. */
    public List<Action> tick(double nowMs) {
        List<Action> actions = new ArrayList<>();
        if (state == State.WAITING) {
            connectWhenDue(actions, nowMs);
        } else if (state == State.CONNECTING) {
            checkConnectTimeout(actions, nowMs);
        } else {
            checkWatch(actions, nowMs);
        }
        return actions;
    }

    /** The active configuration. */
    public Configuration activeConfiguration() {
        return configurations.active();
    }

    /** The last configuration received; active unless it is being applied or was rejected. */
    public Configuration receivedConfiguration() {
        return configurations.received();
    }

    private void connectWhenDue(List<Action> actions, double nowMs) {
        if (nowMs >= attemptAtMs) {
            connect(actions, nowMs);
        }
    }

    private void connect(List<Action> actions, double nowMs) {
        endpoint = rotation.next();
        attemptAtMs = nowMs;
        state = State.CONNECTING;
        actions.add(new Action.Connect(endpoint, configurations.received().revision()));
    }

    private void checkConnectTimeout(List<Action> actions, double nowMs) {
        if (nowMs - attemptAtMs >= CONNECT_TIMEOUT_MS) {
            disconnect(
                    "the watch was not opened within " + CONNECT_TIMEOUT_MS + " ms",
                    actions,
                    nowMs);
        }
    }

    private void checkWatch(List<Action> actions, double nowMs) {
        if (liveness.isSilent(nowMs)) {
            disconnect("received nothing for " + HEARTBEAT_TIMEOUT_MS + " ms", actions, nowMs);
            return;
        }
        if (liveness.isStable(nowMs)) {
            rotation.succeeded();
            serverError = null;
        }
        if (isReturnToOwnRegionDue(nowMs)) {
            actions.add(new Action.Disconnect("returning to a server in the own region"));
            rotation.restart();
            connect(actions, nowMs);
        } else if (reports.isDue(nowMs)) {
            actions.add(report(nowMs));
        }
    }

    private boolean isReturnToOwnRegionDue(double nowMs) {
        return nowMs >= ownRegionRetryAtMs
                && !rotation.isOwnRegion(endpoint)
                && rotation.hasServerInOwnRegion();
    }

    private void disconnect(String reason, List<Action> actions, double nowMs) {
        actions.add(new Action.Disconnect(reason));
        scheduleNextAttempt(nowMs);
    }

    private void scheduleNextAttempt(double nowMs) {
        state = State.WAITING;
        attemptAtMs = nowMs + rotation.failed();
    }

    private void receive(WatchMessage message) throws InvalidConfigurationException {
        if (message instanceof WatchMessage.UpdateMessage update) {
            configurations.receive(update.update());
        } else if (message instanceof WatchMessage.SnapshotMessage snapshot) {
            configurations.receive(snapshot.revision(), snapshot.data(), snapshots);
        }
    }

    /** Reports an invalid message to its server, logs a warning and turns to another server. */
    private void rejectMessage(String error, List<Action> actions, double nowMs) {
        serverError = ValidationError.oneLine(endpoint + ": " + error);
        actions.add(report(nowMs));
        if (nowMs - warnedAtMs >= WARNING_INTERVAL_MS) {
            warnedAtMs = nowMs;
            actions.add(new Action.Warn(serverError));
        }
        disconnect(error, actions, nowMs);
    }

    private void reportSoon(List<Action> actions, double nowMs) {
        if (state != State.WATCHING) {
            return;
        }
        if (reports.isMinGapOver(nowMs)) {
            actions.add(report(nowMs));
        } else {
            reports.bringForward();
        }
    }

    private Action.Report report(double nowMs) {
        reports.sent(nowMs);
        String reason =
                configurations.rejectionReason() != null
                        ? configurations.rejectionReason()
                        : serverError;
        long revision = configurations.active().revision();
        return new Action.Report(endpoint, new FollowerReport(id, region, revision, reason));
    }
}
