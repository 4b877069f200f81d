package tinford.fleet.run;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import tinford.fleet.config.ApplyResult;
import tinford.fleet.config.Change;
import tinford.fleet.config.Configuration;
import tinford.fleet.follow.ConfigurationClient;
import tinford.fleet.follow.ConfigurationListener;
import tinford.fleet.follow.FollowerSettings;
import tinford.fleet.follow.SnapshotFile;
import tinford.routing.catalog.Catalog;
import tinford.transport.EventLoop;

/**
 * Applies configurations in one gateway: starts from the last good snapshot, follows the control
 * servers on a thread of its own, builds each catalog there, and swaps it within one iteration of
 * the I/O thread's event loop.
 */
final class GatewayConfiguration implements ConfigurationListener {
    private static final System.Logger LOG = System.getLogger("tinford.fleet.configuration");
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final double NANOS_PER_MS = 1e6;
    private static final long WRITE_DELAY_MS = 1000;
    private static final long WRITE_RETRY_DELAY_MS = 30_000;
    private final ConfigurationSettings settings;
    private final String followerId;
    private final RandomGenerator random;
    private final CatalogBuilder catalogs;
    private final SnapshotFile snapshots;
    private final Consumer<Catalog> useCatalog;
    private final Consumer<EventLoop.Task> enter;
    private final ConfigurationHistory history;
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(GatewayConfiguration::newThread);
    private Configuration applied = Configuration.EMPTY;

    /** Whether a write of the snapshot is scheduled. */
    private boolean writeScheduled;

    private ConfigurationClient client;
    private boolean closed;

    /**
     * @param useCatalog makes the gateway serve by a catalog; called on the I/O thread
     * @param enter runs a task on the I/O thread, soon; called on any thread
     */
    GatewayConfiguration(
            ConfigurationSettings settings,
            String followerId,
            RandomGenerator random,
            CatalogBuilder catalogs,
            Consumer<Catalog> useCatalog,
            Consumer<EventLoop.Task> enter,
            ConfigurationHistory history) {
        this.settings = settings;
        this.followerId = followerId;
        this.random = random;
        this.catalogs = catalogs;
        this.snapshots = new SnapshotFile(settings.folder(), settings.fleetId());
        this.useCatalog = useCatalog;
        this.enter = enter;
        this.history = history;
    }

    private static Thread newThread(Runnable work) {
        Thread thread = new Thread(work, "configuration");
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Applies the stored snapshot, if it can be used, and starts to follow the control servers.
     * Called on the I/O thread before the gateway accepts requests.
     */
    void start() {
        SnapshotFile.Loaded loaded = snapshots.read();
        String problem = loaded.problem();
        if (loaded.configuration() != null) {
            problem = startFrom(loaded.configuration());
        }
        if (problem != null) {
            LOG.log(
                    Level.WARNING,
                    "no usable stored configuration, using the gateway's settings until a control"
                            + " server answers: reason="
                            + problem);
        }
        executor.execute(this::follow);
    }

    /** Returns why the configuration can't be used; null where it was applied. */
    private String startFrom(Configuration configuration) {
        try {
            swap(configuration, catalogs.build(configuration));
            LOG.log(
                    Level.INFO,
                    "stored configuration applied revision=" + configuration.revision());
            return null;
        } catch (CatalogBuilder.UnusableConfigurationException e) {
            return e.getMessage();
        }
    }

    private void follow() {
        FollowerSettings follower =
                new FollowerSettings(
                        followerId,
                        settings.region(),
                        settings.fleetId(),
                        settings.servers(),
                        applied,
                        random);
        HttpClient http =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .executor(executor)
                        .build();
        client = new ConfigurationClient(follower, this, http, executor);
        client.start();
    }

    /**
     * Called on the configuration's thread; returns once the I/O thread has swapped the catalog.
     */
    @Override
    public ApplyResult apply(Configuration configuration, List<Change> changes) {
        Catalog catalog;
        try {
            catalog = catalogs.build(configuration);
        } catch (CatalogBuilder.UnusableConfigurationException e) {
            LOG.log(
                    Level.WARNING,
                    "configuration rejected revision="
                            + configuration.revision()
                            + " reason="
                            + e.getMessage());
            enter.accept(() -> history.rejected(configuration.revision(), e.getMessage()));
            return new ApplyResult.Rejected(e.getMessage());
        }
        CompletableFuture<Void> swapped = new CompletableFuture<>();
        enter.accept(
                () -> {
                    swap(configuration, catalog);
                    swapped.complete(null);
                });
        await(swapped);
        scheduleWrite(WRITE_DELAY_MS);
        return new ApplyResult.Applied();
    }

    /** On the I/O thread: the one bounded step that applies a configuration. */
    private void swap(Configuration configuration, Catalog catalog) {
        long previousRevision = applied.revision();
        long startedNanos = System.nanoTime();
        useCatalog.accept(catalog);
        double swapMs = (System.nanoTime() - startedNanos) / NANOS_PER_MS;
        applied = configuration;
        history.applied(configuration, previousRevision, swapMs);
    }

    private static void await(CompletableFuture<Void> swapped) {
        try {
            swapped.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("the process ends", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** One write covers all configurations applied until then. */
    private void scheduleWrite(long delayMs) {
        if (!writeScheduled && !closed) {
            writeScheduled = true;
            executor.schedule(this::writeSnapshot, delayMs, TimeUnit.MILLISECONDS);
        }
    }

    private void writeSnapshot() {
        if (!writeScheduled) {
            return; // already written by the close
        }
        writeScheduled = false;
        try {
            snapshots.write(client.activeConfiguration());
        } catch (IOException e) {
            LOG.log(Level.WARNING, "configuration not stored, retrying: error=" + e);
            scheduleWrite(WRITE_RETRY_DELAY_MS);
        }
    }

    /**
     * Stops to follow the control servers and stores what is applied, which stays in use. Called on
     * any thread.
     */
    void close() {
        executor.execute(this::closeOnThread);
    }

    private void closeOnThread() {
        closed = true;
        if (client != null) {
            client.close();
        }
        if (writeScheduled) {
            writeSnapshot();
        }
        try {
            snapshots.close();
        } catch (IOException e) {
            LOG.log(Level.WARNING, "configuration folder not closed: error=" + e);
        }
    }
}
