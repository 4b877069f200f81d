package tinford.fleet.store;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.apache.ratis.conf.Parameters;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.rpc.RpcType;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.storage.RaftStorage.StartupOption;

/**
 * One incarnation of a member of the log: the library's server on the member's folder, its state
 * machine, and what appends and rejoins. The library may end its part on its own; this object then
 * stays, and {@link #isAlive} tells.
 */
final class RatisMember implements Closeable {
    /**
     * What stays the same over the incarnations of a member.
     *
     * @param members addresses by member number
     */
    record Settings(
            int number,
            SortedMap<Integer, InetSocketAddress> members,
            Path folder,
            RaftLog.Bounds bounds,
            RpcType rpcType,
            Parameters parameters) {
        RaftPeerId id() {
            return peerId(number);
        }

        private List<RaftPeer> peers() {
            List<RaftPeer> peers = new ArrayList<>();
            for (Map.Entry<Integer, InetSocketAddress> member : members.entrySet()) {
                InetSocketAddress address = member.getValue();
                peers.add(
                        RaftPeer.newBuilder()
                                .setId(peerId(member.getKey()))
                                .setAddress(address.getHostString() + ":" + address.getPort())
                                .build());
            }
            return peers;
        }

        private static RaftPeerId peerId(int number) {
            return RaftPeerId.valueOf("m" + number);
        }
    }

    private static final System.Logger LOG = System.getLogger("tinford.fleet");
    private static final RaftGroupId GROUP_ID =
            RaftGroupId.valueOf(UUID.fromString("74696e66-6f72-4d00-8000-666c65657400"));

    private final RatisStateMachine stateMachine;
    private final RaftServer server;
    final RaftServer.Division division;
    private final RatisAppender appender;

    /** Null unless this incarnation rejoins the group. */
    private final ReplicaRejoin rejoin;

    /**
     * Starts the incarnation, without waiting for a leader.
     *
     * @throws IOException the folder can't be used or the port is taken
     */
    RatisMember(Settings settings, AppliedState state) throws IOException {
        List<RaftPeer> peers = settings.peers();
        Files.createDirectories(settings.folder());
        boolean hasStoredState = Files.exists(metadataFile(settings.folder()));
        ReplicaRejoin candidate =
                new ReplicaRejoin(
                        GROUP_ID,
                        settings.id(),
                        peers,
                        RatisProperties.of(settings, false),
                        settings.parameters(),
                        settings.folder());
        boolean mustRejoin = candidate.isNeeded(hasStoredState);
        RaftProperties properties = RatisProperties.of(settings, mustRejoin);
        stateMachine = new RatisStateMachine(state);
        server =
                RaftServer.newBuilder()
                        .setServerId(settings.id())
                        .setGroup(
                                mustRejoin
                                        ? RaftGroup.valueOf(GROUP_ID)
                                        : RaftGroup.valueOf(GROUP_ID, peers))
                        .setProperties(properties)
                        .setParameters(settings.parameters())
                        .setStateMachine(stateMachine)
                        .setOption(hasStoredState ? StartupOption.RECOVER : StartupOption.FORMAT)
                        .build();
        try {
            server.start();
            division = server.getDivision(GROUP_ID);
            appender =
                    new RatisAppender(
                            settings.bounds(),
                            server,
                            division,
                            peers,
                            settings.rpcType(),
                            properties,
                            settings.parameters(),
                            "tinford-log-" + settings.number());
        } catch (IOException | RuntimeException e) {
            closeAndLog(server);
            throw e;
        }
        rejoin = mustRejoin ? candidate : null;
        if (mustRejoin) {
            rejoin.start();
        }
    }

    /** The file in which the library keeps term and vote. */
    private static Path metadataFile(Path folder) {
        return folder.resolve(GROUP_ID.getUuid().toString())
                .resolve("current")
                .resolve("raft-meta");
    }

    /** See {@link ReplicatedLog#append}. */
    CompletableFuture<Long> append(byte[] entry) {
        return appender.append(entry);
    }

    boolean isLeader() {
        return division.getInfo().isLeaderReady();
    }

    long term() {
        return division.getInfo().getCurrentTerm();
    }

    /** Whether the library has not ended its part of this member. */
    boolean isAlive() {
        return division.getInfo().isAlive();
    }

    /** Why the library ended its part, as far as it told. */
    String endCause() {
        Throwable failure = stateMachine.logFailure();
        return failure == null ? "shut down by the consensus library" : failure.toString();
    }

    /** Whether it has rejoined the group, and a restart would make it a voter as any other. */
    boolean hasRejoined() {
        return rejoin != null && rejoin.isDone();
    }

    /** Ends this incarnation; pending appends fail. */
    @Override
    public void close() {
        if (rejoin != null) {
            rejoin.stop();
        }
        closeAndLog(appender::close);
        closeAndLog(server);
        appender.failPending();
    }

    private void closeAndLog(Closeable resource) {
        try {
            resource.close();
        } catch (IOException | RuntimeException e) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "log: close failed member={0} error={1}",
                    server.getId(),
                    e.toString());
        }
    }
}
