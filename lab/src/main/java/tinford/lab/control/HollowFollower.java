package tinford.lab.control;

import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import tinford.fleet.config.ApplyResult;
import tinford.fleet.config.Change;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.InvalidConfigurationException;
import tinford.fleet.config.SnapshotCodec;
import tinford.fleet.follow.ConfigurationClient;
import tinford.fleet.follow.FollowerSettings;
import tinford.lab.fleet.History;

/**
 * A follower without a data path: the gateway's own client and configuration state, and a line in
 * the history for whatever comes into force. It writes its snapshot when it is stopped, not after
 * each change as a gateway does: hundreds share this machine's disk.
 */
final class HollowFollower {
    private final HollowSettings.Spec spec;
    private final Path snapshot;
    private final long seed;
    private final History history;
    private final HttpClient http;
    private final ScheduledExecutorService executor;
    private final SnapshotCodec codec = new SnapshotCodec(ControlServers.FLEET_ID);
    private volatile String refusedRoute;
    private Life life;

    /** From one start to the next stop. */
    private final class Life {
        private final ConfigurationClient client;
        private boolean over;

        Life(Configuration inForce) {
            client =
                    new ConfigurationClient(
                            new FollowerSettings(
                                    spec.id(),
                                    spec.region(),
                                    ControlServers.FLEET_ID,
                                    spec.endpoints(),
                                    inForce,
                                    new SplittableRandom(seed)),
                            this::apply,
                            http,
                            executor);
        }

        private synchronized ApplyResult apply(Configuration configuration, List<Change> changes) {
            if (over) {
                return new ApplyResult.Rejected("process: expected one that is not stopped");
            }
            String refused = refusedRoute;
            if (refused != null && configuration.routes().containsKey(refused)) {
                String why =
                        "routes." + refused + ": expected a route that this follower can apply";
                tell(Events.NOT_APPLIED, configuration, Events.WHY, why);
                return new ApplyResult.Rejected(why);
            }
            tellApplied(configuration);
            return new ApplyResult.Applied();
        }

        /** Nothing is applied afterwards. */
        synchronized Configuration end() {
            over = true;
            client.close();
            return client.activeConfiguration();
        }
    }

    HollowFollower(
            HollowSettings.Spec spec,
            Path folder,
            long seed,
            History history,
            HttpClient http,
            ScheduledExecutorService executor) {
        this.spec = spec;
        this.snapshot = folder.resolve(spec.id() + ".snapshot");
        this.seed = seed;
        this.history = history;
        this.http = http;
        this.executor = executor;
    }

    /** Starts with what its disk holds. */
    synchronized void start(boolean diskKept) throws IOException {
        if (!diskKept) {
            Files.deleteIfExists(snapshot);
        }
        Configuration held = Configuration.EMPTY;
        if (Files.exists(snapshot)) {
            try {
                held = codec.decode(Files.readAllBytes(snapshot));
            } catch (InvalidConfigurationException e) {
                throw new IOException("snapshot of follower " + spec.id(), e);
            }
        }
        history.tell(
                Events.STARTED,
                Events.FOLLOWER,
                spec.id(),
                Events.REGION,
                spec.region(),
                Events.DISK,
                diskKept ? Events.DISK_KEPT : Events.DISK_LOST);
        if (held.revision() > 0) {
            tellApplied(held);
        }
        life = new Life(held);
        life.client.start();
    }

    /** Stops at once; its disk keeps the last good snapshot. */
    synchronized void stop() throws IOException {
        Configuration last = life.end();
        history.tell(Events.STOPPED, Events.FOLLOWER, spec.id());
        Files.write(snapshot, codec.encode(last));
        life = null;
    }

    /** Refuses from now on whatever has this route; null for nothing. */
    void refuse(String route) {
        refusedRoute = route;
    }

    String id() {
        return spec.id();
    }

    /** Tells what it holds, read entry by entry. */
    synchronized void digest() {
        if (life != null) {
            Configuration held = life.client.activeConfiguration();
            tell(Events.CONTENT, held, Events.DIGEST, ContentDigest.of(held));
        }
    }

    private void tellApplied(Configuration configuration) {
        String hash = Long.toHexString(configuration.contentHash());
        tell(Events.APPLIED, configuration, Events.HASH, hash);
    }

    private void tell(String kind, Configuration configuration, String field, String value) {
        history.tell(
                kind,
                Events.FOLLOWER,
                spec.id(),
                Events.REVISION,
                configuration.revision(),
                field,
                value);
    }
}
