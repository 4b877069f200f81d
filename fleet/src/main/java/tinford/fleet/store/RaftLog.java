package tinford.fleet.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.ratis.RaftConfigKeys;
import org.apache.ratis.client.ClientFactory;
import org.apache.ratis.client.RaftClientRpc;
import org.apache.ratis.conf.Parameters;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.grpc.GrpcConfigKeys;
import org.apache.ratis.protocol.ClientId;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.protocol.exceptions.LeaderNotReadyException;
import org.apache.ratis.protocol.exceptions.NotLeaderException;
import org.apache.ratis.rpc.RpcType;
import org.apache.ratis.rpc.SupportedRpcType;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.server.storage.RaftStorage.StartupOption;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;

/**
 * A log kept by Apache Ratis, an implementation of Raft: over gRPC, on a folder of its own that it
 * forces before it acknowledges.
 *
 * <p>Chosen over jgroups-raft, which is smaller (3.7 MB of jars against 21 MB) but hands no index
 * to its reader, answers an append without one, and elects by views of the group, which a cut
 * shapes; Ratis keeps term and vote on the disk, asks before it votes, and catches up by chunks of
 * a snapshot.
 *
 * <p>A member that lost its disk would break what it voted and acknowledged; see {@link
 * ReplicaRejoin}.
 *
 * <p>Bounds: {@code inFlight} appends wait at a member, each of at most {@code entryBytes}; the
 * disk holds the entries since the last two snapshots and segments of 1 MiB.
 */
public final class RaftLog implements ReplicatedLog {
    /**
     * What an append may take and how many wait; when a snapshot is taken; how long a silent leader
     * stays one.
     */
    public record Bounds(
            double appendMs, int inFlight, int entryBytes, long snapshotEntries, double silenceMs) {
        public Bounds {
            if (!(appendMs >= 1)
                    || inFlight < 1
                    || entryBytes < 1
                    || entryBytes > 512 * 1024
                    || snapshotEntries < 1
                    || !(silenceMs >= 50)) {
                throw new IllegalArgumentException(
                        "log: expected append_ms, in_flight, snapshot_entries >= 1, "
                                + "entry_bytes 1 to 524288, silence_ms >= 50");
            }
        }
    }

    private static final RaftGroupId GROUP =
            RaftGroupId.valueOf(UUID.fromString("74696e66-6f72-4d00-8000-666c65657400"));
    private static final double AGAIN_MS = 30;

    /** Held here, as the platform forgets the level of a logger that nobody holds. */
    private final Logger quiet = Logger.getLogger("org.apache.ratis");

    private final Bounds bounds;
    private final RaftPeerId self;
    private final RaftServer server;
    private final RaftServer.Division division;
    private final RaftClientRpc rpc;
    private final ClientId client = ClientId.randomId();
    private final AtomicLong calls = new AtomicLong();
    private final Semaphore room;
    private final Set<CompletableFuture<Long>> waiting = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService sender;
    private final Thread rejoins;
    private volatile boolean closed;

    /**
     * Starts the member; whether there is a leader shows later.
     *
     * @param members all of them by number, the same on each; names of hosts are resolved by the
     *     library
     * @throws IOException the folder can't be used or the port is taken
     */
    public RaftLog(
            int number,
            SortedMap<Integer, InetSocketAddress> members,
            Path folder,
            Reader reader,
            Bounds bounds)
            throws IOException {
        this(number, members, folder, reader, bounds, SupportedRpcType.GRPC, new Parameters());
    }

    RaftLog(
            int number,
            SortedMap<Integer, InetSocketAddress> members,
            Path folder,
            Reader reader,
            Bounds bounds,
            RpcType type,
            Parameters parameters)
            throws IOException {
        InetSocketAddress own = members.get(number);
        if (own == null) {
            throw new IllegalArgumentException(
                    "log member " + number + ": expected one of " + members.keySet());
        }
        if (quiet.getLevel() == null) {
            quiet.setLevel(
                    Level.OFF); // it tells each failed connection; an operator's own level stays
        }
        this.bounds = bounds;
        self = id(number);
        room = new Semaphore(bounds.inFlight());
        List<RaftPeer> peers = new ArrayList<>();
        for (Map.Entry<Integer, InetSocketAddress> each : members.entrySet()) {
            InetSocketAddress at = each.getValue();
            peers.add(
                    RaftPeer.newBuilder()
                            .setId(id(each.getKey()))
                            .setAddress(at.getHostString() + ":" + at.getPort())
                            .build());
        }
        RaftProperties properties = properties(own, folder, members.size());
        RaftConfigKeys.Rpc.setType(properties, type);
        Files.createDirectories(folder);
        boolean known =
                Files.exists(
                        folder.resolve(GROUP.getUuid().toString())
                                .resolve("current")
                                .resolve("raft-meta"));
        ReplicaRejoin rejoining =
                new ReplicaRejoin(GROUP, self, peers, properties, parameters, folder);
        boolean again = rejoining.needed(known);
        RaftGroup group = again ? RaftGroup.valueOf(GROUP) : RaftGroup.valueOf(GROUP, peers);
        server =
                RaftServer.newBuilder()
                        .setServerId(self)
                        .setGroup(group)
                        .setProperties(properties)
                        .setParameters(parameters)
                        .setStateMachine(new RatisStateMachine(reader))
                        .setOption(known ? StartupOption.RECOVER : StartupOption.FORMAT)
                        .build();
        sender =
                Executors.newSingleThreadScheduledExecutor(
                        r -> {
                            Thread thread = new Thread(r, "tinford-log-" + number);
                            thread.setDaemon(true);
                            return thread;
                        });
        RaftClientRpc made = null;
        try {
            server.start();
            division = server.getDivision(GROUP);
            made =
                    ClientFactory.cast(type.newFactory(parameters))
                            .newRaftClientRpc(client, properties);
            made.addRaftPeers(peers);
            rejoins = again ? rejoining.start() : null;
        } catch (IOException | RuntimeException e) {
            free(made);
            throw e;
        }
        rpc = made;
    }

    private RaftProperties properties(InetSocketAddress own, Path folder, int members) {
        RaftProperties to = new RaftProperties();
        GrpcConfigKeys.Server.setHost(to, own.getHostString());
        GrpcConfigKeys.Server.setPort(to, own.getPort());
        RaftServerConfigKeys.setStorageDir(to, List.of(folder.toFile()));
        RaftServerConfigKeys.setStorageFreeSpaceMin(to, SizeInBytes.valueOf("4MB"));
        RaftServerConfigKeys.Rpc.setTimeoutMin(to, ms(bounds.silenceMs()));
        RaftServerConfigKeys.Rpc.setTimeoutMax(to, ms(2 * bounds.silenceMs()));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMin(to, ms(bounds.silenceMs() / 2));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMax(to, ms(bounds.silenceMs()));
        // a process that was stopped for long goes on, as a follower that catches up
        RaftServerConfigKeys.setCloseThreshold(to, TimeDuration.valueOf(365, TimeUnit.DAYS));
        RaftServerConfigKeys.Log.setSegmentSizeMax(to, SizeInBytes.valueOf("1MB"));
        RaftServerConfigKeys.Log.setPreallocatedSize(to, SizeInBytes.valueOf("64KB"));
        RaftServerConfigKeys.Log.setWriteBufferSize(to, SizeInBytes.valueOf("2MB"));
        RaftServerConfigKeys.Log.setSegmentCacheNumMax(to, 2);
        RaftServerConfigKeys.Log.Appender.setBufferByteLimit(to, SizeInBytes.valueOf("1MB"));
        RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(to, true);
        RaftServerConfigKeys.Log.setPurgeGap(to, 1);
        RaftServerConfigKeys.Log.setPurgePreservationLogNum(to, bounds.snapshotEntries());
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(to, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(to, bounds.snapshotEntries());
        RaftServerConfigKeys.Snapshot.setCreationGap(to, 1);
        RaftServerConfigKeys.Snapshot.setTriggerWhenStopEnabled(to, false);
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(to, 2);
        RaftServerConfigKeys.Write.setElementLimit(to, 2 * bounds.inFlight() * members);
        RaftServerConfigKeys.RetryCache.setExpiryTime(to, ms(4 * bounds.appendMs() + 1000));
        return to;
    }

    private static TimeDuration ms(double ms) {
        return TimeDuration.valueOf((long) Math.ceil(ms), TimeUnit.MILLISECONDS);
    }

    private static RaftPeerId id(int number) {
        return RaftPeerId.valueOf("m" + number);
    }

    @Override
    public CompletableFuture<Long> append(byte[] entry) {
        if (closed) {
            return CompletableFuture.failedFuture(new IOException("log: closed"));
        }
        if (entry.length > bounds.entryBytes()) {
            return CompletableFuture.failedFuture(
                    new IOException(
                            "log: entry of "
                                    + entry.length
                                    + " bytes, expected at most "
                                    + bounds.entryBytes()));
        }
        if (!room.tryAcquire()) {
            return CompletableFuture.failedFuture(
                    new IOException("log: " + bounds.inFlight() + " appends wait already"));
        }
        CompletableFuture<Long> told = new CompletableFuture<>();
        waiting.add(told);
        told.whenComplete(
                (index, e) -> {
                    waiting.remove(told);
                    room.release();
                });
        told.orTimeout((long) Math.ceil(bounds.appendMs()), TimeUnit.MILLISECONDS);
        Message message = Message.valueOf(ByteString.copyFrom(entry));
        long call = calls.incrementAndGet();
        later(() -> offer(call, message, told), 0, told);
        return told;
    }

    private void later(Runnable what, double afterMs, CompletableFuture<Long> told) {
        try {
            sender.schedule(what, (long) afterMs, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            told.completeExceptionally(new IOException("log: closed"));
        }
    }

    /**
     * On the sender's thread. Asked again only where it surely was not taken, and under the same
     * call, which the library takes once.
     */
    private void offer(long call, Message message, CompletableFuture<Long> told) {
        if (told.isDone()) {
            return;
        }
        RaftPeerId leader = division.getInfo().getLeaderId();
        if (leader == null) {
            later(() -> offer(call, message, told), AGAIN_MS, told);
            return;
        }
        RaftClientRequest req =
                RaftClientRequest.newBuilder()
                        .setClientId(client)
                        .setServerId(leader)
                        .setGroupId(GROUP)
                        .setCallId(call)
                        .setMessage(message)
                        .setType(RaftClientRequest.writeRequestType())
                        .build();
        CompletableFuture<RaftClientReply> reply;
        try {
            reply =
                    leader.equals(self)
                            ? server.submitClientRequestAsync(req)
                            : rpc.sendRequestAsyncUnordered(req);
        } catch (IOException | RuntimeException e) {
            reply = CompletableFuture.failedFuture(e);
        }
        reply.whenComplete(
                (answer, e) -> {
                    Throwable why = e != null ? e : answer.getException();
                    while (why instanceof CompletionException && why.getCause() != null) {
                        why = why.getCause();
                    }
                    if (why == null) {
                        told.complete(answer.getLogIndex());
                    } else if (why instanceof NotLeaderException
                            || why instanceof LeaderNotReadyException) {
                        later(() -> offer(call, message, told), AGAIN_MS, told);
                    } else {
                        if (!leader.equals(self) && !closed) {
                            rpc.handleException(leader, why, true);
                        }
                        told.completeExceptionally(
                                new IOException(
                                        "log: append at " + leader + " failed: " + why, why));
                    }
                });
    }

    @Override
    public boolean leads() {
        return !closed && division.getInfo().isLeaderReady();
    }

    @Override
    public long term() {
        return division.getInfo().getCurrentTerm();
    }

    @Override
    public synchronized void close() {
        if (!closed) {
            closed = true;
            if (rejoins != null) {
                rejoins.interrupt();
            }
            free(rpc);
            waiting.forEach(each -> each.completeExceptionally(new IOException("log: closed")));
        }
    }

    private void free(RaftClientRpc used) {
        sender.shutdownNow();
        for (AutoCloseable each : new AutoCloseable[] {used, server}) {
            try {
                if (each != null) {
                    each.close();
                }
            } catch (Exception e) {
                System.getLogger("tinford.fleet")
                        .log(
                                System.Logger.Level.WARNING,
                                "log: {0} not closed: {1}",
                                self,
                                e.toString());
            }
        }
    }
}
