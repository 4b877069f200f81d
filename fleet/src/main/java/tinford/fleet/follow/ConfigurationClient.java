package tinford.fleet.follow;

import java.lang.System.Logger.Level;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.ConfigurationCodec;
import tinford.fleet.config.ConfigurationLimits;
import tinford.fleet.config.Endpoint;
import tinford.fleet.config.Follower;
import tinford.fleet.config.Follower.Action;
import tinford.fleet.config.FollowerReport;

/**
 * Follows the control servers over HTTP: performs what a {@link Follower} decides. All its work
 * runs on the executor handed in, one step at a time; many clients may share one executor and one
 * {@link HttpClient}.
 */
public final class ConfigurationClient implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger("tinford.fleet.configuration");
    private static final long REPORT_TIMEOUT_S = 5;
    private static final double WARNING_INTERVAL_MS = 60_000;
    private static final int STATUS_OK = 200;

    /** Of the heap, what one line may take: a line is held up to three times while it is read. */
    private static final int HEAP_DIVISOR_PER_LINE = 16;

    private final FollowerSettings settings;
    private final ConfigurationListener listener;
    private final HttpClient http;
    private final ScheduledExecutorService executor;
    private final SerialExecutor serial;
    private final Follower follower;
    private final WarningLimiter warnings = new WarningLimiter(WARNING_INTERVAL_MS);
    private final AtomicLong bytesReceived = new AtomicLong();
    private final AtomicLong bytesSent = new AtomicLong();
    private final AtomicLong connects = new AtomicLong();
    private volatile Configuration activeConfiguration;
    private Watch watch;
    private Action.Report waitingReport;
    private boolean reporting;
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
            long every = Math.round(Follower.TICK_INTERVAL_MS);
            ticks =
                    executor.scheduleWithFixedDelay(
                            () -> serial.execute(this::tick), 0, every, TimeUnit.MILLISECONDS);
        }
    }

    /** Ends the watch and all further work. */
    @Override
    public synchronized void close() {
        closed = true;
        if (ticks != null) {
            ticks.cancel(false);
        }
        serial.execute(this::endWatch);
    }

    /** The configuration in force; from any thread. */
    public Configuration activeConfiguration() {
        return activeConfiguration;
    }

    /** Bytes of bodies received so far; from any thread. */
    public long bytesReceived() {
        return bytesReceived.get();
    }

    /** Bytes of request lines and bodies sent so far; from any thread. */
    public long bytesSent() {
        return bytesSent.get();
    }

    /** Watches asked for so far; from any thread. */
    public long connects() {
        return connects.get();
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    private synchronized boolean isClosed() {
        return closed;
    }

    private void tick() {
        if (!isClosed()) {
            perform(follower.tick(now()));
        }
    }

    /** Performs the actions in their order, and those that these bring about. */
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
            return applied(() -> listener.apply(apply.result(), apply.update().changes()));
        } else if (action instanceof Action.ApplySnapshot snapshot) {
            return applied(() -> listener.apply(snapshot.configuration(), null));
        } else if (action instanceof Action.Report report) {
            waitingReport = report;
            sendReport();
        } else if (action instanceof Action.Warn warn) {
            warn(warn.message());
        }
        return List.of();
    }

    private List<Action> applied(Supplier<String> application) {
        String refusal;
        try {
            refusal = application.get();
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "a configuration could not be applied", e);
            refusal = "configuration: expected one that can be applied, not " + e;
        }
        List<Action> next = follower.applied(refusal, now());
        activeConfiguration = follower.activeConfiguration();
        return next;
    }

    private void warn(String message) {
        if (warnings.tryAcquire(message, now())) {
            LOG.log(Level.WARNING, "configuration, follower " + settings.id() + ": " + message);
        }
    }

    private void connect(Action.Connect connect) {
        endWatch();
        if (isClosed()) {
            return;
        }
        connects.incrementAndGet();
        watch = new Watch();
        watch.open(watchUri(connect));
    }

    private void endWatch() {
        if (watch != null) {
            Watch ended = watch;
            watch = null;
            ended.cancel();
        }
    }

    private URI watchUri(Action.Connect connect) {
        return uri(
                connect.endpoint(),
                "/configuration?watch=1&after="
                        + connect.afterRevision()
                        + "&follower="
                        + encode(settings.id())
                        + "&region="
                        + encode(settings.region())
                        + "&fleet="
                        + encode(settings.fleetId()));
    }

    private static URI uri(Endpoint endpoint, String path) {
        return URI.create("http://" + endpoint.host() + ":" + endpoint.port() + path);
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /** One report is under way at a time; of those that wait the latest is sent. */
    private void sendReport() {
        if (reporting || waitingReport == null || isClosed()) {
            return;
        }
        Endpoint endpoint = waitingReport.endpoint();
        FollowerReport report = waitingReport.report();
        waitingReport = null;
        reporting = true;
        byte[] body = ConfigurationCodec.encode(report);
        URI uri = uri(endpoint, "/followers/" + encode(report.follower()));
        bytesSent.addAndGet(uri.toString().length() + body.length);
        HttpRequest request =
                HttpRequest.newBuilder(uri)
                        .version(HttpClient.Version.HTTP_1_1)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                        .build();
        CompletableFuture<HttpResponse<Void>> sent =
                http.sendAsync(request, HttpResponse.BodyHandlers.discarding());
        sent.copy()
                .orTimeout(REPORT_TIMEOUT_S, TimeUnit.SECONDS)
                .whenComplete(
                        (response, failure) -> {
                            sent.cancel(true); // an answer without end
                            serial.execute(this::reported);
                        });
    }

    /** Whatever became of it: the follower reports again within seconds. */
    private void reported() {
        reporting = false;
        sendReport();
    }

    /** One watch, from its request to its end. Once it is not the present one it is not heard. */
    private final class Watch implements WatchSubscription.Listener {
        private WatchSubscription stream;
        private CompletableFuture<HttpResponse<Void>> response;

        void open(URI uri) {
            bytesSent.addAndGet(uri.toString().length());
            HttpRequest request =
                    HttpRequest.newBuilder(uri).version(HttpClient.Version.HTTP_1_1).GET().build();
            response = http.sendAsync(request, this::body);
            response.whenComplete(
                    (done, failure) -> {
                        if (failure != null) {
                            serial.execute(() -> ended("not reached: " + cause(failure)));
                        }
                    });
        }

        private HttpResponse.BodySubscriber<Void> body(HttpResponse.ResponseInfo head) {
            WatchSubscription answer =
                    new WatchSubscription(serial, this, longestLine(), bytesReceived);
            if (head.statusCode() == STATUS_OK) {
                serial.execute(() -> opened(answer));
            } else {
                answer.cancel();
                String reason = "answer: expected status 200, not " + head.statusCode();
                serial.execute(() -> ended(reason));
            }
            return answer;
        }

        private void opened(WatchSubscription answer) {
            if (this == watch) {
                stream = answer;
                perform(follower.opened(now()));
            } else {
                answer.cancel();
            }
        }

        @Override
        public void line(byte[] line) {
            if (this == watch) {
                perform(follower.line(line, now()));
            }
        }

        @Override
        public void partialLine() {
            if (this == watch) {
                follower.partialLine(now());
            }
        }

        @Override
        public void ended(String reason) {
            if (this == watch) {
                watch = null;
                perform(follower.closed(reason, now()));
            }
        }

        void cancel() {
            if (stream != null) {
                stream.cancel();
            }
            response.cancel(true);
        }
    }

    private static int longestLine() {
        long part = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR_PER_LINE;
        return (int) Math.min(ConfigurationLimits.MAX_LINE_BYTES, part);
    }

    private static String cause(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        return cause.getClass().getSimpleName()
                + (cause.getMessage() == null ? "" : ": " + cause.getMessage());
    }
}
