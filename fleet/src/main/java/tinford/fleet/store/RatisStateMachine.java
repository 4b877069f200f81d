package tinford.fleet.store;

import java.io.File;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.storage.FileInfo;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.StateMachineStorage;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.statemachine.impl.SingleFileSnapshotInfo;
import org.apache.ratis.util.LifeCycle;
import org.apache.ratis.util.MD5FileUtil;

/**
 * Adapts an {@link AppliedState} to Ratis, and keeps its snapshots as checksummed files in the
 * library's folder.
 */
final class RatisStateMachine extends BaseStateMachine {
    private static final int MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024;

    /** All snapshots carry the same time, as the library orders them by index. */
    private static final double SNAPSHOT_TIME_MS = 0;

    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private final AppliedState state;
    private volatile Throwable logFailure;

    RatisStateMachine(AppliedState state) {
        this.state = state;
    }

    /** What the library's log failed with, or null. */
    Throwable logFailure() {
        return logFailure;
    }

    @Override
    public void notifyLogFailed(Throwable cause, LogEntryProto failedEntry) {
        logFailure = cause;
    }

    @Override
    public void initialize(RaftServer server, RaftGroupId groupId, RaftStorage raftStorage)
            throws IOException {
        super.initialize(server, groupId, raftStorage);
        getLifeCycle().transition(LifeCycle.State.STARTING);
        storage.init(raftStorage);
        restoreLatestSnapshot();
        // the library installs a leader's snapshot only in a state machine that ran and was paused
        getLifeCycle().transition(LifeCycle.State.RUNNING);
    }

    /** Called after the library installed a snapshot of the leader. */
    @Override
    public void reinitialize() throws IOException {
        restoreLatestSnapshot();
        if (getLifeCycleState() == LifeCycle.State.PAUSED) {
            getLifeCycle().transition(LifeCycle.State.STARTING);
            getLifeCycle().transition(LifeCycle.State.RUNNING);
        }
    }

    @Override
    public void pause() {
        if (getLifeCycleState() == LifeCycle.State.RUNNING) {
            getLifeCycle().transition(LifeCycle.State.PAUSING);
            getLifeCycle().transition(LifeCycle.State.PAUSED);
        }
    }

    private void restoreLatestSnapshot() throws IOException {
        SingleFileSnapshotInfo latest = storage.loadLatestSnapshot();
        if (latest == null) {
            return;
        }
        try (Store store = snapshotStore(latest.getFile().getPath().toFile())) {
            Store.ReadResult result = store.read(SNAPSHOT_TIME_MS);
            if (result.content() == null) {
                throw new IOException("log: snapshot " + result.absenceReason());
            }
            state.restore(latest.getIndex(), result.content());
        }
        setLastAppliedTermIndex(latest.getTermIndex());
    }

    @Override
    public long takeSnapshot() throws IOException {
        TermIndex lastApplied = getLastAppliedTermIndex();
        if (lastApplied == null || lastApplied.getIndex() < 0) {
            return -1;
        }
        byte[] content = state.snapshotAt(lastApplied.getIndex());
        if (content == null) {
            return -1; // the library still replays what was applied before its start
        }
        File file = storage.getSnapshotFile(lastApplied.getTerm(), lastApplied.getIndex());
        try (Store store = snapshotStore(file)) {
            store.write(content, SNAPSHOT_TIME_MS);
        }
        FileInfo info = new FileInfo(file.toPath(), MD5FileUtil.computeAndSaveMd5ForFile(file));
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(info, lastApplied));
        return lastApplied.getIndex();
    }

    private static Store snapshotStore(File file) {
        return new FileStore(file.toPath().getParent(), file.getName(), MAX_SNAPSHOT_BYTES, 0);
    }

    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
        LogEntryProto entry = transaction.getLogEntry();
        state.apply(entry.getIndex(), entry.getStateMachineLogEntry().getLogData().toByteArray());
        updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
        return CompletableFuture.completedFuture(Message.EMPTY);
    }

    @Override
    public StateMachineStorage getStateMachineStorage() {
        return storage;
    }
}
