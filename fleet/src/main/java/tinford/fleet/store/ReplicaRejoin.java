package tinford.fleet.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.conf.Parameters;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.protocol.GroupInfoReply;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.retry.RetryPolicies;
import org.apache.ratis.util.TimeDuration;

/**
 * How a member without its disk comes back: it votes for nothing and counts for nothing until the
 * leader has taken it out, in again, and brought it up to date. As a voter at once it could outvote
 * what it had acknowledged before.
 *
 * <p>It knows that it lost its disk when its folder is empty and another member tells of committed
 * entries. Where no other answers, it can't tell that from the first start of all: a member with an
 * empty folder must not be started before another one runs.
 */
final class ReplicaRejoin {
    private static final TimeDuration AGAIN = TimeDuration.valueOf(200, TimeUnit.MILLISECONDS);
    private final RaftGroup group;
    private final RaftPeerId self;
    private final List<RaftPeer> others;
    private final RaftProperties properties;
    private final Parameters parameters;

    /** There from when it was found out until it counts again, over restarts. */
    private final Path mark;

    ReplicaRejoin(
            RaftGroupId id,
            RaftPeerId self,
            List<RaftPeer> peers,
            RaftProperties properties,
            Parameters parameters,
            Path folder) {
        this.group = RaftGroup.valueOf(id, peers);
        this.self = self;
        this.others = peers.stream().filter(each -> !each.getId().equals(self)).toList();
        this.properties = properties;
        this.parameters = parameters;
        this.mark = folder.resolve("rejoining");
    }

    /** Asks the others, one after the other, for some seconds each at most. */
    boolean needed(boolean diskKnown) throws IOException {
        if (Files.exists(mark)) {
            return true;
        }
        if (diskKnown || others.isEmpty()) {
            return false;
        }
        try (RaftClient client = client(0)) {
            for (RaftPeer each : others) {
                if (committed(client, each.getId())) {
                    Files.createFile(mark);
                    return true;
                }
            }
        }
        return false;
    }

    private boolean committed(RaftClient client, RaftPeerId at) {
        try {
            GroupInfoReply reply = client.getGroupManagementApi(at).info(group.getGroupId());
            return reply.getCommitInfos().stream().anyMatch(each -> each.getCommitIndex() > 0);
        } catch (IOException | RuntimeException none) {
            return false; // not up, or itself without the group
        }
    }

    private RaftClient client(int tries) {
        return RaftClient.newBuilder()
                .setRaftGroup(group)
                .setProperties(properties)
                .setParameters(parameters)
                .setRetryPolicy(
                        tries == 0
                                ? RetryPolicies.noRetry()
                                : RetryPolicies.retryUpToMaximumCountWithFixedSleep(tries, AGAIN))
                .build();
    }

    /** Tries until it counts again; an interrupt ends it. */
    Thread start() {
        Thread thread =
                new Thread(
                        () -> {
                            while (!Thread.currentThread().isInterrupted()) {
                                try (RaftClient client = client(25)) {
                                    RaftClientReply out = client.admin().setConfiguration(others);
                                    if (out.isSuccess()
                                            && client.admin()
                                                    .setConfiguration(List.copyOf(group.getPeers()))
                                                    .isSuccess()) {
                                        Files.deleteIfExists(mark);
                                        return;
                                    }
                                    AGAIN.sleep();
                                } catch (InterruptedException e) {
                                    return;
                                } catch (IOException | RuntimeException e) {
                                    System.getLogger("tinford.fleet")
                                            .log(
                                                    System.Logger.Level.INFO,
                                                    "log: {0} not back yet: {1}",
                                                    self,
                                                    e.toString());
                                    if (!rest()) {
                                        return;
                                    }
                                }
                            }
                        },
                        "tinford-log-rejoins-" + self);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static boolean rest() {
        try {
            AGAIN.sleep();
            return true;
        } catch (InterruptedException e) {
            return false;
        }
    }
}
