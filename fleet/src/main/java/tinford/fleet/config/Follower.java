package tinford.fleet.config;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Follows one control server at a time and decides what its owner does: connect, disconnect, apply,
 * report.
 *
 * <p>The owner passes in each event with its time in ms on any steady clock, performs the returned
 * actions in their order, and passes in what became of them. Events of an earlier watch are not
 * passed in after a {@link Action.Disconnect} or a new {@link Action.Connect}. After {@link
 * Action.Apply} or {@link Action.ApplySnapshot} no further one is returned until {@link #applied};
 * updates that arrive meanwhile are combined. The revision in force never decreases. Not
 * thread-safe.
 */
public final class Follower {
    /** What the owner is to do. */
    public sealed interface Action {
        /** Open a watch; then {@link Follower#opened} or {@link Follower#closed}. */
        record Connect(Endpoint endpoint, long afterRevision) implements Action {}

        /** End the watch or the attempt; no {@link Follower#closed} is expected for it. */
        record Disconnect(String reason) implements Action {}

        /** Bring this update into force; then {@link Follower#applied}. */
        record Apply(Update update, Configuration result) implements Action {}

        /** Bring this into force, whatever was before; then {@link Follower#applied}. */
        record ApplySnapshot(Configuration configuration) implements Action {}

        /** Send this to the control server that is followed; no response is expected. */
        record Report(Endpoint endpoint, FollowerReport report) implements Action {}

        /** Log a warning of one line for the operators. */
        record Warn(String message) implements Action {}
    }

    /** How often {@link #tick} should be called. */
    public static final double TICK_INTERVAL_MS = 100;

    /** How long an attempt to connect may take. */
    public static final double CONNECT_TIMEOUT_MS = 2_500;

    /** How long a watch may be silent; a heartbeat is due each second. */
    public static final double HEARTBEAT_TIMEOUT_MS = 3_500;

    /** How long a line may take from its first bytes to its end. */
    public static final double LINE_TIMEOUT_MS = 10_000;

    /** How often a report is sent while nothing changes. */
    public static final double REPORT_INTERVAL_MS = 10_000;

    /** The shortest time between two reports. */
    public static final double MIN_REPORT_GAP_MS = 250;

    /** A watch that has lived so long resets the backoff. */
    static final double STEADY_WATCH_MS = 5_000;

    /** How long a server of another region is followed at least before the own region is tried. */
    static final double OWN_REGION_RETRY_MS = 60_000;

    /** How often errors of control servers are logged. */
    static final double WARNING_INTERVAL_MS = 60_000;

    private enum State {
        /** Nothing is open; the next attempt is due at {@code attemptAtMs}. */
        WAITING,
        CONNECTING,
        WATCHING
    }

    private final String id;
    private final String region;
    private final SnapshotCodec snapshots;
    private final EndpointRotation rotation;
    private final RandomGenerator random;
    private final AppliedState applied;
    private final ReportSchedule reports;
    private final WatchLiveness liveness = new WatchLiveness();

    private State state = State.WAITING;
    private Endpoint endpoint;
    private double attemptAtMs = Double.NEGATIVE_INFINITY;
    private double ownRegionRetryAtMs;
    private double warnedAtMs = Double.NEGATIVE_INFINITY;

    /** The last invalid message of a control server; null once another has served steadily. */
    private String serverError;

    /**
     * Nothing is connected before the first {@link #tick}.
     *
     * @param id of the follower, the same over restarts
     * @param endpoints all control servers; those of the own region are preferred
     * @param initialConfiguration what is in force at the start, from the last good snapshot or
     *     {@link Configuration#EMPTY}
     * @throws IllegalArgumentException for an id or region that is no name, or no endpoints
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
                    "follower and region: expected " + RecordChecks.EXPECTED_NAME);
        }
        this.id = id;
        this.region = region;
        this.snapshots = new SnapshotCodec(fleetId);
        this.rotation = new EndpointRotation(region, endpoints, random);
        this.random = random;
        this.applied = new AppliedState(initialConfiguration);
        this.reports = new ReportSchedule(random);
    }

    /** The watch of the last {@link Action.Connect} is open. */
    public List<Action> opened(double nowMs) {
        if (state != State.CONNECTING) {
            return List.of();
        }
        state = State.WATCHING;
        liveness.opened(nowMs);
        ownRegionRetryAtMs = nowMs + OWN_REGION_RETRY_MS * (1 + random.nextDouble());
        return List.of(report(nowMs));
    }

    /** A line was received, without its line feed; an empty one is a heartbeat. */
    public List<Action> line(byte[] line, double nowMs) {
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
            applied.offer(actions);
        } catch (InvalidConfigurationException e) {
            rejectMessage(e.getMessage(), actions, nowMs);
        }
        return actions;
    }

    /** Bytes of an unfinished line were received: a long line on a slow link is no silence. */
    public void partialLine(double nowMs) {
        if (state == State.WATCHING) {
            liveness.partialLineReceived(nowMs);
        }
    }

    /** The watch could not be opened, or ended. */
    public List<Action> closed(String reason, double nowMs) {
        if (state != State.WAITING) {
            waitForNext(nowMs);
        }
        return List.of();
    }

    /** What became of the last {@link Action.Apply} or {@link Action.ApplySnapshot}. */
    public List<Action> applied(ApplyResult result, double nowMs) {
        if (!applied.isPending()) {
            return List.of();
        }
        List<Action> actions = new ArrayList<>();
        if (result instanceof ApplyResult.Rejected rejected) {
            applied.reject(rejected.reason());
            actions.add(new Action.Warn(applied.rejectionReason()));
        } else {
            applied.activate();
        }
        applied.offer(actions);
        reportSoon(actions, nowMs);
        return actions;
    }

    /** Time has passed; see {@link #TICK_INTERVAL_MS}. */
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

    /** The configuration in force. */
    public Configuration activeConfiguration() {
        return applied.active();
    }

    /** The latest configuration received; in force unless it is being applied or was rejected. */
    public Configuration receivedConfiguration() {
        return applied.received();
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
        actions.add(new Action.Connect(endpoint, applied.received().revision()));
    }

    private void checkConnectTimeout(List<Action> actions, double nowMs) {
        if (nowMs - attemptAtMs >= CONNECT_TIMEOUT_MS) {
            disconnect("no watch within " + CONNECT_TIMEOUT_MS + " ms", actions, nowMs);
        }
    }

    private void checkWatch(List<Action> actions, double nowMs) {
        if (liveness.isSilent(nowMs)) {
            disconnect("silent for " + HEARTBEAT_TIMEOUT_MS + " ms", actions, nowMs);
            return;
        }
        if (liveness.isSteady(nowMs)) {
            rotation.succeeded();
            serverError = null;
        }
        if (isReturnToOwnRegionDue(nowMs)) {
            actions.add(new Action.Disconnect("to return to the own region"));
            rotation.restart();
            connect(actions, nowMs);
        } else if (reports.isDue(nowMs)) {
            actions.add(report(nowMs));
        }
    }

    private boolean isReturnToOwnRegionDue(double nowMs) {
        return nowMs >= ownRegionRetryAtMs
                && !rotation.isOwnRegion(endpoint)
                && rotation.hasOwnRegion();
    }

    private void disconnect(String reason, List<Action> actions, double nowMs) {
        actions.add(new Action.Disconnect(reason));
        waitForNext(nowMs);
    }

    private void waitForNext(double nowMs) {
        state = State.WAITING;
        attemptAtMs = nowMs + rotation.failed();
    }

    private void receive(WatchMessage message) throws InvalidConfigurationException {
        if (message instanceof WatchMessage.UpdateMessage update) {
            applied.receive(update.update());
        } else if (message instanceof WatchMessage.SnapshotMessage snapshot) {
            applied.receive(snapshot.revision(), snapshot.data(), snapshots);
        }
    }

    /** Reports the error to the server, warns the operators and goes on to another server. */
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
        if (reports.isGapOver(nowMs)) {
            actions.add(report(nowMs));
        } else {
            reports.bringForward();
        }
    }

    private Action.Report report(double nowMs) {
        reports.sent(nowMs);
        String reason = applied.rejectionReason() != null ? applied.rejectionReason() : serverError;
        long revision = applied.active().revision();
        return new Action.Report(endpoint, new FollowerReport(id, region, revision, reason));
    }
}
