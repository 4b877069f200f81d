package tinford.fleet.control;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import tinford.fleet.config.ApplyResult;
import tinford.fleet.config.Change;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.Proposal;
import tinford.fleet.config.Update;
import tinford.fleet.control.ProposalResult.CommitStatus;
import tinford.fleet.control.ProposalResult.Unavailable;
import tinford.fleet.follow.ConfigurationClient;
import tinford.fleet.follow.FollowerSettings;
import tinford.fleet.follow.SnapshotFile;

/**
 * Follows a voter, preferably one of its own region, and serves the same configuration. After a
 * restart it serves its last good snapshot until a voter is reached.
 */
final class Replica implements ControlRole {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final int THREADS = 2;

    private final RevisionFeed feed;
    private final ScheduledExecutorService executor;
    private final ConfigurationClient client;
    private final SnapshotSaver snapshotSaver;

    Replica(ControlSettings settings, RevisionFeed feed) {
        this.feed = feed;
        snapshotSaver =
                new SnapshotSaver(new SnapshotFile(settings.folder(), settings.fleet()), feed);
        snapshotSaver.load();
        executor =
                Executors.newScheduledThreadPool(
                        THREADS, new DaemonThreadFactory("control-replica"));
        HttpClient http =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .executor(executor)
                        .build();
        FollowerSettings follower =
                new FollowerSettings(
                        settings.name(),
                        settings.region(),
                        settings.fleet(),
                        settings.upstream(),
                        feed.current(),
                        new Random());
        client = new ConfigurationClient(follower, this::apply, http, executor);
        client.start();
    }

    private ApplyResult apply(Configuration configuration, List<Change> changes) {
        long before = feed.current().revision();
        if (changes == null) {
            feed.replace(configuration, List.of());
        } else {
            feed.append(configuration, new Update(before, configuration.revision(), changes));
        }
        snapshotSaver.scheduleSave();
        ControlLog.revisionApplied(configuration.revision());
        return new ApplyResult.Applied();
    }

    /** A replica neither accepts nor forwards proposals. */
    @Override
    public CompletableFuture<ProposalResult> propose(Proposal proposal) {
        return CompletableFuture.completedFuture(
                new Unavailable(
                        CommitStatus.NOT_COMMITTED, "a replica takes no proposals, ask a voter"));
    }

    @Override
    public boolean isLeader() {
        return false;
    }

    @Override
    public long term() {
        return 0;
    }

    @Override
    public void close() {
        client.close();
        executor.shutdown();
        snapshotSaver.close();
    }
}
