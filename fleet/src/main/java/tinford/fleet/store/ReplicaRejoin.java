package tinford.fleet.store;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.conf.Parameters;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.protocol.GroupInfoReply;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.retry.RetryPolicies;
import org.apache.ratis.retry.RetryPolicy;
import org.apache.ratis.util.TimeDuration;

/**
 * Brings back a member that lost its disk. It neither votes nor counts towards a majority until the
 * leader has removed it from the group, added it again and brought it up to date: as a voter at
 * once, it could outvote entries that it had acknowledged before.
 *
 * <p>A member concludes that it lost its disk when its folder is empty and another member reports
 * committed entries. Where no other member answers, this can't be told from the first start of the
 * group, so a member with an empty folder must not be started before another one runs.
 */
final class ReplicaRejoin {
    private static final System.Logger LOG = System.getLogger("tinford.fleet");
    private static final TimeDuration RETRY_INTERVAL =
            TimeDuration.valueOf(200, TimeUnit.MILLISECONDS);
    private static final int MAX_RETRIES = 25;
    private static final RetryPolicy RETRIES =
            RetryPolicies.retryUpToMaximumCountWithFixedSleep(MAX_RETRIES, RETRY_INTERVAL);

    private final RaftGroup group;
    private final RaftPeerId self;
    private final List<RaftPeer> others;
    private final RaftProperties properties;
    private final Parameters parameters;

    /** Exists, over restarts, from the discovery of the loss until the member counts again. */
    private final Path markerFile;

    private Thread thread;
    private volatile boolean done;

    ReplicaRejoin(
            RaftGroupId groupId,
            RaftPeerId self,
            List<RaftPeer> peers,
            RaftProperties properties,
            Parameters parameters,
            Path folder) {
        this.group = RaftGroup.valueOf(groupId, peers);
        this.self = self;
        this.others = peers.stream().filter(peer -> !peer.getId().equals(self)).toList();
        this.properties = properties;
        this.parameters = parameters;
        this.markerFile = folder.resolve("rejoining");
    }

    /**
     * Whether this member has to rejoin. Queries the other members one after the other, for some
     * seconds each at most.
     *
     * @param hasStoredState whether the folder holds this member's term and vote
     */
    boolean isNeeded(boolean hasStoredState) throws IOException {
        if (Files.exists(markerFile)) {
            return true;
        }
        if (hasStoredState || others.isEmpty()) {
            return false;
        }
        try (RaftClient client = client(RetryPolicies.noRetry())) {
            for (RaftPeer peer : others) {
                if (hasCommittedEntries(client, peer.getId())) {
                    Files.createFile(markerFile);
                    return true;
                }
            }
        }
        return false;
    }

    private boolean hasCommittedEntries(RaftClient client, RaftPeerId peer) {
        try {
            GroupInfoReply reply = client.getGroupManagementApi(peer).info(group.getGroupId());
            return reply.getCommitInfos().stream().anyMatch(info -> info.getCommitIndex() > 0);
        } catch (IOException | RuntimeException e) {
            return false; // not running, or itself outside the group
        }
    }

    private RaftClient client(RetryPolicy retryPolicy) {
        return RaftClient.newBuilder()
                .setRaftGroup(group)
                .setProperties(properties)
                .setParameters(parameters)
                .setRetryPolicy(retryPolicy)
                .build();
    }

    /** Retries on a thread of its own until the member counts again, or {@link #stop}. */
    void start() {
        thread = new Thread(this::rejoin, "tinford-log-rejoins-" + self);
        thread.setDaemon(true);
        thread.start();
    }

    void stop() {
        thread.interrupt();
    }

    /** Whether the member counts again. */
    boolean isDone() {
        return done;
    }

    private void rejoin() {
        try {
            while (!Thread.currentThread().isInterrupted() && !tryRejoin()) {
                RETRY_INTERVAL.sleep();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean tryRejoin() {
        try (RaftClient client = client(RETRIES)) {
            boolean rejoined =
                    client.admin().setConfiguration(others).isSuccess()
                            && client.admin()
                                    .setConfiguration(List.copyOf(group.getPeers()))
                                    .isSuccess();
            if (rejoined) {
                Files.deleteIfExists(markerFile);
                done = true;
            }
            return rejoined;
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.INFO, "log: rejoin failed, retrying member={0} error={1}", self, e);
            return false;
        }
    }
}
