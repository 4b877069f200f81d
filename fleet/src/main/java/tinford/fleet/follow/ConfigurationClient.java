package tinford.fleet.follow;

import java.lang.System.Logger.Level;
import java.net.http.HttpClient;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import tinford.fleet.config.ApplyResult;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.Follower;
import tinford.fleet.config.Follower.Action;

/**
 * Follows the control servers over HTTP by performing the actions of a {@link Follower}. All its
 * work runs on the given executor, one step at a time; many clients may share one executor and one
 * {@link HttpClient}.
 */
public final class ConfigurationClient implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger("tinford.fleet.configuration");
    private static final double WARNING_INTERVAL_MS = 60_000;
    private static final double NANOS_PER_MS = 1e6;

    private final FollowerSettings settings;
    private final ConfigurationListener listener;
    private final HttpClient http;
    private final ScheduledExecutorService executor;
    private final SerialExecutor serial;
    private final Follower follower;
    private final ReportSender reports;
    private final TrafficCounters traffic = new TrafficCounters();
    private final WarningLimiter warnings = new WarningLimiter(WARNING_INTERVAL_MS);
    private volatile Configuration activeConfiguration;

    /** The watch that was requested last; null after its end. */
    private WatchSession watch;

    private ScheduledFuture<?> ticks;
    private boolean closed;

    /** Does nothing before {@link #start}. */
    public ConfigurationClient(
            FollowerSettings settings,
            ConfigurationListener listener,
            HttpClient http,
            ScheduledExecutorService executor) {
        this.settings = settings;
        this.listener = listener;
        this.http = http;
        this.executor = executor;
        this.serial = new SerialExecutor(executor);
        this.reports = new ReportSender(http, serial, traffic);
        this.activeConfiguration = settings.initialConfiguration();
        this.follower =
                new Follower(
                        settings.id(),
                        settings.region(),
                        settings.fleetId(),
                        settings.endpoints(),
                        settings.initialConfiguration(),
                        settings.random());
    }

    /** Begins to follow; returns at once. */
    public synchronized void start() {
        if (ticks == null && !closed) {
            long intervalMs = Math.round(Follower.TICK_INTERVAL_MS);
            ticks =
                    executor.scheduleWithFixedDelay(
                            () -> serial.execute(this::tick), 0, intervalMs, TimeUnit.MILLISECONDS);
        }
    }

    /** Ends the watch and all further work. */
    @Override
    public synchronized void close() {
        closed = true;
        reports.close();
        if (ticks != null) {
            ticks.cancel(false);
        }
        serial.execute(this::endWatch);
    }

    /** The configuration in force; from any thread. */
    public Configuration activeConfiguration() {
        return activeConfiguration;
    }

    /** Bytes of response bodies received so far; from any thread. */
    public long bytesReceived() {
        return traffic.bytesReceived();
    }

    /** Bytes of request URIs and bodies sent so far; from any thread. */
    public long bytesSent() {
        return traffic.bytesSent();
    }

    private static double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    private synchronized boolean isClosed() {
        return closed;
    }

    private void tick() {
        if (!isClosed()) {
            perform(follower.tick(nowMs()));
        }
    }

    /** Performs the actions in their order, and then those that they bring about. */
    private void perform(List<Action> actions) {
        Queue<Action> due = new ArrayDeque<>(actions);
        while (!due.isEmpty()) {
            due.addAll(perform(due.remove()));
        }
    }

    private List<Action> perform(Action action) {
        if (action instanceof Action.Connect connect) {
            connect(connect);
        } else if (action instanceof Action.Disconnect) {
            endWatch();
        } else if (action instanceof Action.Apply apply) {
            return apply(() -> listener.apply(apply.result(), apply.update().changes()));
        } else if (action instanceof Action.ApplySnapshot snapshot) {
            return apply(() -> listener.apply(snapshot.configuration(), null));
        } else if (action instanceof Action.Report report) {
            reports.send(report);
        } else if (action instanceof Action.Warn warn) {
            warn(warn.message());
        }
        return List.of();
    }

    private List<Action> apply(Supplier<ApplyResult> application) {
        ApplyResult result;
        try {
            result = application.get();
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "configuration not applied: unexpected exception", e);
            result =
                    new ApplyResult.Rejected(
                            "configuration: expected one that can be applied, not " + e);
        }
        List<Action> next = follower.applyCompleted(result, nowMs());
        activeConfiguration = follower.activeConfiguration();
        return next;
    }

    private void warn(String message) {
        if (warnings.tryAcquire(message, nowMs())) {
            LOG.log(Level.WARNING, "configuration follower=" + settings.id() + ": " + message);
        }
    }

    private void connect(Action.Connect connect) {
        endWatch();
        if (isClosed()) {
            return;
        }
        watch = new WatchSession(http, serial, traffic, new WatchListener());
        watch.open(ControlServerUris.watch(connect.endpoint(), settings, connect.afterRevision()));
    }

    private void endWatch() {
        if (watch != null) {
            watch.cancel();
            watch = null;
        }
    }

    /** Passes the events of the current watch to the follower. */
    private final class WatchListener implements WatchSession.Listener {
        @Override
        public void opened() {
            perform(follower.watchOpened(nowMs()));
        }

        @Override
        public void line(byte[] line) {
            perform(follower.lineReceived(line, nowMs()));
        }

        @Override
        public void partialLine() {
            follower.partialLineReceived(nowMs());
        }

        @Override
        public void ended(String reason) {
            watch = null;
            perform(follower.watchClosed(reason, nowMs()));
        }
    }
}
