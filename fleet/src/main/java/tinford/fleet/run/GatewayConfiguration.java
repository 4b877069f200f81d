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
 * Brings configurations into force in one gateway: starts from the last good snapshot, follows the
 * control servers on a thread of its own, builds each catalog there, and swaps it within one turn
 * of the I/O thread.
 */
final class GatewayConfiguration implements ConfigurationListener {
    private static final System.Logger LOG = System.getLogger("tinford.fleet.configuration");
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final long WRITE_AFTER_MS = 1000;
    private static final long WRITE_AGAIN_MS = 30_000;
    private final ConfigurationSettings settings;
    private final String followerId;
    private final RandomGenerator random;
    private final CatalogBuilder catalogs;
    private final SnapshotFile snapshots;
    private final Consumer<Catalog> use;
    private final Consumer<EventLoop.Task> enter;
    private final ConfigurationHistory history;
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(GatewayConfiguration::thread);
    private Configuration inForce = Configuration.EMPTY;
    private boolean writing; // or about to
    private ConfigurationClient client;
    private boolean ended;

    /**
     * @param use within a round: brings a catalog into force
     * @param enter from any thread: runs what it is given within a round, soon
     */
    GatewayConfiguration(
            ConfigurationSettings settings,
            String followerId,
            RandomGenerator random,
            CatalogBuilder catalogs,
            Consumer<Catalog> use,
            Consumer<EventLoop.Task> enter,
            ConfigurationHistory history) {
        this.settings = settings;
        this.followerId = followerId;
        this.random = random;
        this.catalogs = catalogs;
        this.snapshots = new SnapshotFile(settings.folder(), settings.fleetId());
        this.use = use;
        this.enter = enter;
        this.history = history;
    }

    private static Thread thread(Runnable work) {
        Thread thread = new Thread(work, "configuration");
        thread.setDaemon(true);
        return thread;
    }

    /** Within the first round, before anything comes in: starts from the disk, and follows then. */
    void start() {
        SnapshotFile.Loaded loaded = snapshots.read();
        String problem = loaded.problem();
        if (loaded.configuration() != null) {
            problem = startFrom(loaded.configuration());
        }
        if (problem != null) {
            LOG.log(
                    Level.WARNING,
                    "starts on the settings handed, until a control server is reached: " + problem);
        }
        executor.execute(this::follow);
    }

    private String startFrom(Configuration configuration) {
        try {
            swap(configuration, catalogs.build(configuration));
            LOG.log(Level.INFO, "starts on configuration " + configuration.revision());
            return null;
        } catch (CatalogBuilder.Unusable e) {
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
                        inForce,
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

    /** On the configuration's thread. */
    @Override
    public ApplyResult apply(Configuration configuration, List<Change> changes) {
        Catalog catalog;
        try {
            catalog = catalogs.build(configuration);
        } catch (CatalogBuilder.Unusable e) {
            LOG.log(
                    Level.WARNING,
                    "configuration " + configuration.revision() + " refused: " + e.getMessage());
            enter.accept(() -> history.refused(configuration.revision(), e.getMessage()));
            return new ApplyResult.Rejected(e.getMessage());
        }
        CompletableFuture<Void> swapped = new CompletableFuture<>();
        enter.accept(
                () -> {
                    swap(configuration, catalog);
                    swapped.complete(null);
                });
        await(swapped);
        writeSoon(WRITE_AFTER_MS);
        return new ApplyResult.Applied();
    }

    /** Within a round: the one bounded step by which a configuration comes into force. */
    private void swap(Configuration configuration, Catalog catalog) {
        long from = inForce.revision();
        long begin = System.nanoTime();
        use.accept(catalog);
        double turnMs = (System.nanoTime() - begin) / 1e6;
        inForce = configuration;
        history.inForce(configuration, from, turnMs);
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

    /** One write stands for all changes that come until then. */
    private void writeSoon(long afterMs) {
        if (!writing && !ended) {
            writing = true;
            executor.schedule(this::write, afterMs, TimeUnit.MILLISECONDS);
        }
    }

    private void write() {
        if (!writing) {
            return; // written as the process ended
        }
        writing = false;
        try {
            snapshots.write(client.activeConfiguration());
        } catch (IOException e) {
            LOG.log(Level.WARNING, "the configuration is not kept on the disk yet: " + e);
            writeSoon(WRITE_AGAIN_MS);
        }
    }

    /**
     * From any thread: nothing more is followed; what is in force stays, and is kept on the disk.
     */
    void close() {
        executor.execute(this::end);
    }

    private void end() {
        ended = true;
        if (client != null) {
            client.close();
        }
        if (writing) {
            write();
        }
        try {
            snapshots.close();
        } catch (IOException e) {
            LOG.log(Level.WARNING, "the configuration's folder: " + e);
        }
    }
}
