package tinford.fleet.config;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Follows one control server at a time and decides what its owner does: connect, disconnect, apply,
 * report. The owner passes in what happened, with its time in ms on any steady clock, performs the
 * actions returned in their order, and passes in what became of them; what an earlier watch still
 * brings after a {@link Action.Disconnect} or a new {@link Action.Connect} is not passed in. After
 * {@link Action.Apply} or {@link Action.ApplySnapshot} comes no further one until {@link #applied};
 * what arrives meanwhile is combined. The revision in force never falls. Not thread-safe.
 */
public final class Follower {
    /** What the owner is to do. */
    public sealed interface Action {
        /** Open a watch; then {@link Follower#opened} or {@link Follower#closed}. */
        record Connect(Endpoint endpoint, long afterRevision) implements Action {}

        /** End the watch or the attempt; no {@link Follower#closed} is expected for it. */
        record Disconnect(String reason) implements Action {}

        /** Bring this into force; then {@link Follower#applied}. */
        record Apply(Update update, Configuration result) implements Action {}

        /** Bring this into force, whatever was before; then {@link Follower#applied}. */
        record ApplySnapshot(Configuration configuration) implements Action {}

        /** Send this to the control server that is followed; no answer is expected. */
        record Report(Endpoint endpoint, FollowerReport report) implements Action {}

        /** Tell the operators of something wrong, in one line. */
        record Warn(String message) implements Action {}
    }

    /** How often {@link #tick} should come, ms. */
    public static final double TICK_INTERVAL_MS = 100;

    /** How long an attempt to connect may take, ms. */
    public static final double CONNECT_TIMEOUT_MS = 2_500;

    /** How long a watch may be silent, ms; a heartbeat is due each second. */
    public static final double HEARTBEAT_TIMEOUT_MS = 3_500;

    /** How long a line may take from its first bytes to its end, ms. */
    public static final double LINE_TIMEOUT_MS = 10_000;

    /** How often a report is sent where nothing changes, ms. */
    public static final double REPORT_INTERVAL_MS = 10_000;

    /** The least time between two reports, ms. */
    public static final double MIN_REPORT_GAP_MS = 250;

    /** Attempts are not slowed down any more once a watch has lived so long, ms. */
    static final double STEADY_WATCH_MS = 5_000;

    /** How long another region's server is followed at least before the own one's is tried, ms. */
    static final double OWN_REGION_RETRY_MS = 60_000;

    /** How often a control server's faults are told, ms. */
    static final double WARNING_INTERVAL_MS = 60_000;

    private enum State {
        /** Nothing is open; an attempt is due. */
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

    private State state = State.WAITING;
    private Endpoint endpoint;
    private double attemptAt = Double.NEGATIVE_INFINITY;
    private double openedAt;
    private double heardAt;
    private double lineAt;
    private double returnAt;
    private double reportAt = Double.POSITIVE_INFINITY;
    private double reportedAt = Double.NEGATIVE_INFINITY;
    private double warnedAt = Double.NEGATIVE_INFINITY;

    /** What a control server sent that can't be taken; null once another has served steadily. */
    private String serverError;

    /**
     * Nothing is connected before the first {@link #tick}.
     *
     * @param id of the follower, the same over restarts
     * @param endpoints all control servers; those of the own region are preferred
     * @param initialConfiguration what is in force at the start, from the last good snapshot or
     *     {@link Configuration#EMPTY}
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
    }

    /** The watch asked for last is open. */
    public List<Action> opened(double now) {
        if (state != State.CONNECTING) {
            return List.of();
        }
        state = State.WATCHING;
        openedAt = now;
        heardAt = now;
        lineAt = now;
        returnAt = now + OWN_REGION_RETRY_MS * (1 + random.nextDouble());
        List<Action> actions = new ArrayList<>();
        report(actions, now);
        return actions;
    }

    /** A line came without its line end; an empty one is a heartbeat. */
    public List<Action> line(byte[] line, double now) {
        if (state != State.WATCHING) {
            return List.of();
        }
        heardAt = now;
        lineAt = now;
        List<Action> actions = new ArrayList<>();
        if (line.length == 0) {
            return actions;
        }
        try {
            receive(ConfigurationCodec.decodeWatchMessage(line));
            applied.offer(actions);
        } catch (InvalidConfigurationException e) {
            rejectMessage(e.getMessage(), actions, now);
        }
        return actions;
    }

    /** Bytes of a line came that isn't whole yet: a long one on a slow link is no silence. */
    public void partialLine(double now) {
        if (state == State.WATCHING && now - lineAt < LINE_TIMEOUT_MS) {
            heardAt = now;
        }
    }

    /** The watch could not be opened, or ended. */
    public List<Action> closed(String reason, double now) {
        if (state != State.WAITING) {
            waitForNext(now);
        }
        return List.of();
    }

    /**
     * What was to be applied last is in force, or was refused.
     *
     * @param refusal why not; null where it is in force
     */
    public List<Action> applied(String refusal, double now) {
        List<Action> actions = new ArrayList<>();
        if (!applied.isPending()) {
            return actions;
        }
        if (refusal == null) {
            applied.activate();
        } else {
            applied.reject(refusal);
            actions.add(new Action.Warn(applied.rejectionReason()));
        }
        applied.offer(actions);
        reportSoon(actions, now);
        return actions;
    }

    /** Time has passed. */
    public List<Action> tick(double now) {
        List<Action> actions = new ArrayList<>();
        switch (state) {
            case WAITING -> connectWhenDue(actions, now);
            case CONNECTING -> {
                if (now - attemptAt >= CONNECT_TIMEOUT_MS) {
                    disconnect("no watch within " + CONNECT_TIMEOUT_MS + " ms", actions, now);
                }
            }
            case WATCHING -> watch(actions, now);
            default -> throw new IllegalStateException(state.toString());
        }
        return actions;
    }

    /** The configuration in force. */
    public Configuration activeConfiguration() {
        return applied.active();
    }

    /** The latest configuration received; in force unless it is being applied or was refused. */
    public Configuration receivedConfiguration() {
        return applied.received();
    }

    private void connectWhenDue(List<Action> actions, double now) {
        if (now < attemptAt) {
            return;
        }
        endpoint = rotation.next();
        attemptAt = now;
        state = State.CONNECTING;
        actions.add(new Action.Connect(endpoint, applied.received().revision()));
    }

    private void watch(List<Action> actions, double now) {
        if (now - heardAt >= HEARTBEAT_TIMEOUT_MS) {
            disconnect("silent for " + HEARTBEAT_TIMEOUT_MS + " ms", actions, now);
            return;
        }
        if (now - openedAt >= STEADY_WATCH_MS) {
            rotation.succeeded();
            serverError = null;
        }
        if (now >= returnAt && !rotation.isOwnRegion(endpoint) && rotation.hasOwnRegion()) {
            actions.add(new Action.Disconnect("to return to the own region"));
            rotation.restart();
            connectNow(actions, now);
            return;
        }
        if (now >= reportAt) {
            report(actions, now);
        }
    }

    private void connectNow(List<Action> actions, double now) {
        attemptAt = now;
        connectWhenDue(actions, now);
    }

    private void disconnect(String reason, List<Action> actions, double now) {
        actions.add(new Action.Disconnect(reason));
        waitForNext(now);
    }

    private void waitForNext(double now) {
        state = State.WAITING;
        attemptAt = now + rotation.failed();
    }

    private void receive(WatchMessage message) throws InvalidConfigurationException {
        if (message instanceof WatchMessage.UpdateMessage update) {
            applied.receive(update.update());
        } else if (message instanceof WatchMessage.SnapshotMessage snapshot) {
            applied.receive(snapshot.revision(), snapshot.data(), snapshots);
        }
    }

    /** Told to the server and the operators; another server may do better. */
    private void rejectMessage(String error, List<Action> actions, double now) {
        serverError = ValidationError.oneLine(endpoint + ": " + error);
        report(actions, now);
        if (now - warnedAt >= WARNING_INTERVAL_MS) {
            warnedAt = now;
            actions.add(new Action.Warn(serverError));
        }
        disconnect(error, actions, now);
    }

    private void reportSoon(List<Action> actions, double now) {
        if (state != State.WATCHING) {
            return;
        }
        if (now - reportedAt >= MIN_REPORT_GAP_MS) {
            report(actions, now);
        } else {
            reportAt = Math.min(reportAt, reportedAt + MIN_REPORT_GAP_MS);
        }
    }

    private void report(List<Action> actions, double now) {
        reportedAt = now;
        reportAt = now + REPORT_INTERVAL_MS * (0.9 + 0.1 * random.nextDouble());
        String refusal =
                applied.rejectionReason() != null ? applied.rejectionReason() : serverError;
        FollowerReport report =
                new FollowerReport(id, region, applied.active().revision(), refusal);
        actions.add(new Action.Report(endpoint, report));
    }
}
