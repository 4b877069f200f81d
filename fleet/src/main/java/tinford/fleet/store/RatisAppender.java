package tinford.fleet.store;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.ratis.client.ClientFactory;
import org.apache.ratis.client.RaftClientRpc;
import org.apache.ratis.conf.Parameters;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.protocol.ClientId;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.protocol.exceptions.AlreadyClosedException;
import org.apache.ratis.protocol.exceptions.LeaderNotReadyException;
import org.apache.ratis.protocol.exceptions.NotLeaderException;
import org.apache.ratis.rpc.RpcType;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;

/**
 * Sends the appends of one member to the leader of the group, which may be the member itself. Owns
 * the RPC client and the thread that sends.
 */
final class RatisAppender {
    private static final long RETRY_INTERVAL_MS = 30;

    private final RaftLog.Bounds bounds;
    private final RaftServer server;
    private final RaftServer.Division division;
    private final RaftClientRpc rpc;
    private final ClientId clientId = ClientId.randomId();
    private final AtomicLong lastCallId = new AtomicLong();
    private final Semaphore permits;
    private final Set<CompletableFuture<Long>> pending = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService executor;
    private volatile boolean closed;

    /** The caller closes {@code server}; it outlives this appender. */
    RatisAppender(
            RaftLog.Bounds bounds,
            RaftServer server,
            RaftServer.Division division,
            List<RaftPeer> peers,
            RpcType rpcType,
            RaftProperties properties,
            Parameters parameters,
            String threadName) {
        this.bounds = bounds;
        this.server = server;
        this.division = division;
        permits = new Semaphore(bounds.maxInFlight());
        rpc =
                ClientFactory.cast(rpcType.newFactory(parameters))
                        .newRaftClientRpc(clientId, properties);
        addPeers(peers);
        executor =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, threadName);
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    private void addPeers(List<RaftPeer> peers) {
        try {
            rpc.addRaftPeers(peers);
        } catch (RuntimeException e) {
            closeAfter(e);
            throw e;
        }
    }

    private void closeAfter(RuntimeException failure) {
        try {
            rpc.close();
        } catch (IOException e) {
            failure.addSuppressed(e);
        }
    }

    /** See {@link ReplicatedLog#append}. */
    CompletableFuture<Long> append(byte[] entry) {
        if (closed) {
            return CompletableFuture.failedFuture(LogAppendException.closed());
        }
        if (entry.length > bounds.maxEntryBytes()) {
            return CompletableFuture.failedFuture(
                    LogAppendException.tooLarge(entry.length, bounds.maxEntryBytes()));
        }
        if (!permits.tryAcquire()) {
            return CompletableFuture.failedFuture(
                    LogAppendException.tooManyInFlight(bounds.maxInFlight()));
        }
        CompletableFuture<Long> result = new CompletableFuture<>();
        pending.add(result);
        result.whenComplete(
                (index, failure) -> {
                    pending.remove(result);
                    permits.release();
                });
        result.orTimeout((long) Math.ceil(bounds.appendTimeoutMs()), TimeUnit.MILLISECONDS);
        Message message = Message.valueOf(ByteString.copyFrom(entry));
        schedule(new Append(lastCallId.incrementAndGet(), message, result), 0);
        return result;
    }

    /**
     * One append. Its attempts carry one call id, by which the library appends it once. An attempt
     * is repeated where the one before surely had no effect, or where the connection to the leader
     * was found closed, as that to a member that was restarted is.
     */
    private record Append(long callId, Message message, CompletableFuture<Long> result) {}

    private void schedule(Append append, long delayMs) {
        try {
            executor.schedule(() -> attempt(append), delayMs, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            append.result.completeExceptionally(LogAppendException.closed());
        }
    }

    private void attempt(Append append) {
        if (append.result.isDone()) {
            return;
        }
        RaftPeerId leader = division.getInfo().getLeaderId();
        if (leader == null) {
            schedule(append, RETRY_INTERVAL_MS);
            return;
        }
        send(append, leader)
                .whenComplete((reply, failure) -> handleReply(append, leader, reply, failure));
    }

    private CompletableFuture<RaftClientReply> send(Append append, RaftPeerId leader) {
        RaftClientRequest request =
                RaftClientRequest.newBuilder()
                        .setClientId(clientId)
                        .setServerId(leader)
                        .setGroupId(division.getMemberId().getGroupId())
                        .setCallId(append.callId)
                        .setMessage(append.message)
                        .setType(RaftClientRequest.writeRequestType())
                        .build();
        try {
            return isSelf(leader)
                    ? server.submitClientRequestAsync(request)
                    : rpc.sendRequestAsyncUnordered(request);
        } catch (IOException | RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private boolean isSelf(RaftPeerId peer) {
        return peer.equals(server.getId());
    }

    private void handleReply(
            Append append, RaftPeerId leader, RaftClientReply reply, Throwable failure) {
        Throwable cause = unwrap(failure != null ? failure : reply.getException());
        if (cause == null) {
            append.result.complete(reply.getLogIndex());
            return;
        }
        boolean answeredByLeader =
                cause instanceof NotLeaderException || cause instanceof LeaderNotReadyException;
        if (!answeredByLeader && !isSelf(leader) && !closed) {
            rpc.handleException(leader, cause, true); // connects anew
        }
        if (answeredByLeader || cause instanceof AlreadyClosedException) {
            schedule(append, RETRY_INTERVAL_MS);
        } else {
            append.result.completeExceptionally(LogAppendException.failedAt(leader, cause));
        }
    }

    private static Throwable unwrap(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause;
    }

    /** Sends nothing more, and closes the RPC client; pending appends stay pending. */
    void close() throws IOException {
        closed = true;
        executor.shutdownNow();
        rpc.close();
    }

    /** Fails all pending appends; to be called once the server is closed too. */
    void failPending() {
        pending.forEach(result -> result.completeExceptionally(LogAppendException.closed()));
    }
}
