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
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.ratis.conf.Parameters;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.rpc.RpcType;
import org.apache.ratis.rpc.SupportedRpcType;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.storage.RaftStorage.StartupOption;

/**
 * A replicated log by Apache Ratis, an implementation of Raft: over gRPC, in a folder that is
 * forced before an entry is acknowledged.
 *
 * <p>Ratis rather than jgroups-raft (21 MB of jars against 3.7 MB): the latter passes no index to
 * the state machine and returns none from an append, and elects by group views, which follow a
 * network partition; Ratis stores term and vote, holds a pre-vote, and transfers snapshots in
 * chunks.
 *
 * <p>A member that lost its disk may have forgotten votes and acknowledged entries; see {@link
 * ReplicaRejoin}.
 *
 * <p>Bounds: {@code maxInFlight} pending appends of at most {@code maxEntryBytes} each; on disk the
 * entries since the last two snapshots, in segments of 1 MiB.
 */
public final class RaftLog implements ReplicatedLog {
    /**
     * Limits and timeouts of a log.
     *
     * @param appendTimeoutMs after which a pending append fails
     * @param maxInFlight pending appends of one member
     * @param snapshotThreshold entries after which a snapshot is taken
     * @param electionTimeoutMs without a word of the leader until an election, at least
     */
    public record Bounds(
            double appendTimeoutMs,
            int maxInFlight,
            int maxEntryBytes,
            long snapshotThreshold,
            double electionTimeoutMs) {
        private static final int MAX_ENTRY_BYTES = 512 * 1024;

        public Bounds {
            if (!(appendTimeoutMs >= 1)
                    || maxInFlight < 1
                    || maxEntryBytes < 1
                    || maxEntryBytes > MAX_ENTRY_BYTES
                    || snapshotThreshold < 1
                    || !(electionTimeoutMs >= 50)) {
                throw new IllegalArgumentException(
                        "log: expected append_ms, in_flight, snapshot_entries >= 1, "
                                + "entry_bytes 1 to 524288, silence_ms >= 50");
            }
        }
    }

    private static final System.Logger LOG = System.getLogger("tinford.fleet");
    private static final RaftGroupId GROUP_ID =
            RaftGroupId.valueOf(UUID.fromString("74696e66-6f72-4d00-8000-666c65657400"));

    /** Referenced, as the platform drops an unreferenced logger together with its level. */
    private final Logger ratisLogger = Logger.getLogger("org.apache.ratis");

    private final RaftServer server;
    private final RaftServer.Division division;
    private final RatisAppender appender;
    private final Thread rejoinThread;
    private volatile boolean closed;

    /**
     * Starts the member, without waiting for a leader.
     *
     * @param members addresses by member number, the same on each member; the library resolves host
     *     names
     * @throws IOException the folder can't be used or the port is taken
     */
    public RaftLog(
            int number,
            SortedMap<Integer, InetSocketAddress> members,
            Path folder,
            StateMachine stateMachine,
            Bounds bounds)
            throws IOException {
        this(
                number,
                members,
                folder,
                stateMachine,
                bounds,
                SupportedRpcType.GRPC,
                new Parameters());
    }

    RaftLog(
            int number,
            SortedMap<Integer, InetSocketAddress> members,
            Path folder,
            StateMachine stateMachine,
            Bounds bounds,
            RpcType rpcType,
            Parameters parameters)
            throws IOException {
        InetSocketAddress listenAddress = members.get(number);
        if (listenAddress == null) {
            throw new IllegalArgumentException(
                    "log member " + number + ": expected one of " + members.keySet());
        }
        silenceRatis();
        List<RaftPeer> peers = peers(members);
        RaftGroup group = RaftGroup.valueOf(GROUP_ID, peers);
        RaftProperties properties =
                RatisProperties.of(bounds, listenAddress, folder, members.size(), rpcType);
        Files.createDirectories(folder);
        boolean hasStoredState = Files.exists(metadataFile(folder));
        ReplicaRejoin rejoin =
                new ReplicaRejoin(GROUP_ID, peerId(number), peers, properties, parameters, folder);
        boolean mustRejoin = rejoin.isNeeded(hasStoredState);
        server =
                RaftServer.newBuilder()
                        .setServerId(peerId(number))
                        .setGroup(mustRejoin ? RaftGroup.valueOf(GROUP_ID) : group)
                        .setProperties(properties)
                        .setParameters(parameters)
                        .setStateMachine(new RatisStateMachine(stateMachine))
                        .setOption(hasStoredState ? StartupOption.RECOVER : StartupOption.FORMAT)
                        .build();
        try {
            server.start();
            division = server.getDivision(GROUP_ID);
            appender =
                    new RatisAppender(
                            bounds,
                            server,
                            division,
                            peers,
                            rpcType,
                            properties,
                            parameters,
                            "tinford-log-" + number);
        } catch (IOException | RuntimeException e) {
            closeAndLog(server);
            throw e;
        }
        rejoinThread = mustRejoin ? rejoin.start() : null;
    }

    /** The library logs each failed connection. A level that an operator has set stays. */
    private void silenceRatis() {
        if (ratisLogger.getLevel() == null) {
            ratisLogger.setLevel(Level.OFF);
        }
    }

    private static List<RaftPeer> peers(SortedMap<Integer, InetSocketAddress> members) {
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

    /** The file in which the library keeps term and vote. */
    private static Path metadataFile(Path folder) {
        return folder.resolve(GROUP_ID.getUuid().toString())
                .resolve("current")
                .resolve("raft-meta");
    }

    @Override
    public CompletableFuture<Long> append(byte[] entry) {
        return appender.append(entry);
    }

    @Override
    public boolean isLeader() {
        return !closed && division.getInfo().isLeaderReady();
    }

    @Override
    public long term() {
        return division.getInfo().getCurrentTerm();
    }

    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (rejoinThread != null) {
            rejoinThread.interrupt();
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
