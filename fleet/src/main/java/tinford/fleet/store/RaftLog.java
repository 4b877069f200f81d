package tinford.fleet.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.SortedMap;
import java.util.concurrent.CompletableFuture;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.ratis.conf.Parameters;
import org.apache.ratis.rpc.RpcType;
import org.apache.ratis.rpc.SupportedRpcType;

/**
 * A replicated log by Apache Ratis, an implementation of Raft: over gRPC, in a folder that is
 * forced before an entry is acknowledged.
 *
 * <p>Ratis rather than jgroups-raft (21 MB of jars against 3.7 MB): the latter passes no index to
 * the state machine and returns none from an append, and elects by group views, which follow a
 * network partition; Ratis stores term and vote, holds a pre-vote, and transfers snapshots in
 * chunks.
 *
 * <p>Where the library ends its part of the member, that is started anew; see {@link
 * MemberSupervisor}.
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

    /** Referenced, as the platform drops an unreferenced logger together with its level. */
    private final Logger ratisLogger = Logger.getLogger("org.apache.ratis");

    final MemberSupervisor supervisor;
    private volatile long highestTerm;
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
        if (members.get(number) == null) {
            throw new IllegalArgumentException(
                    "log member " + number + ": expected one of " + members.keySet());
        }
        limitRatisLogging();
        RatisMember.Settings settings =
                new RatisMember.Settings(number, members, folder, bounds, rpcType, parameters);
        AppliedState state = new AppliedState(stateMachine);
        supervisor =
                new MemberSupervisor(
                        settings.id().toString(), () -> new RatisMember(settings, state));
    }

    /** The library warns of each failed connection. A level that an operator has set stays. */
    private void limitRatisLogging() {
        if (ratisLogger.getLevel() == null) {
            ratisLogger.setLevel(Level.SEVERE);
        }
    }

    @Override
    public CompletableFuture<Long> append(byte[] entry) {
        RatisMember member = supervisor.member();
        if (closed) {
            return CompletableFuture.failedFuture(LogAppendException.closed());
        }
        return member == null
                ? CompletableFuture.failedFuture(LogAppendException.restarting())
                : member.append(entry);
    }

    @Override
    public boolean isLeader() {
        RatisMember member = supervisor.member();
        return !closed && member != null && member.isLeader();
    }

    @Override
    public long term() {
        RatisMember member = supervisor.member();
        if (member != null) {
            highestTerm = Math.max(highestTerm, member.term());
        }
        return highestTerm;
    }

    @Override
    public boolean isRunning() {
        return supervisor.isRunning();
    }

    @Override
    public int restarts() {
        return supervisor.restarts();
    }

    @Override
    public synchronized void close() {
        if (!closed) {
            closed = true;
            supervisor.close();
        }
    }
}
