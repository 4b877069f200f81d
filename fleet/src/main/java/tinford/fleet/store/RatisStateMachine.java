package tinford.fleet.store;

import java.io.File;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
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
 * Hands what the library has committed to a reader, and keeps its snapshots as sealed files in the
 * library's folder.
 */
final class RatisStateMachine extends BaseStateMachine {
    /** Bytes that a snapshot may have. */
    private static final int LARGEST = 64 * 1024 * 1024;

    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private final ReplicatedLog.Reader reader;

    RatisStateMachine(ReplicatedLog.Reader reader) {
        this.reader = reader;
    }

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage disk)
            throws IOException {
        super.initialize(server, group, disk);
        getLifeCycle().transition(LifeCycle.State.STARTING);
        storage.init(disk);
        restore();
        getLifeCycle()
                .transition(
                        LifeCycle.State
                                .RUNNING); // the library puts a snapshot only in place of what ran
        // and paused
    }

    /** After the library put another's snapshot in place. */
    @Override
    public void reinitialize() throws IOException {
        restore();
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

    private void restore() throws IOException {
        SingleFileSnapshotInfo latest = storage.loadLatestSnapshot();
        if (latest == null) {
            return;
        }
        File file = latest.getFile().getPath().toFile();
        try (Store kept = kept(file)) {
            Store.Found found = kept.read(0);
            if (found.content() == null) {
                throw new IOException("log: snapshot " + found.why());
            }
            reader.restore(latest.getIndex(), found.content());
        }
        setLastAppliedTermIndex(latest.getTermIndex());
    }

    @Override
    public long takeSnapshot() throws IOException {
        TermIndex last = getLastAppliedTermIndex();
        if (last == null || last.getIndex() < 0) {
            return -1;
        }
        File file = storage.getSnapshotFile(last.getTerm(), last.getIndex());
        try (Store kept = kept(file)) {
            kept.write(reader.snapshot(), 0);
        }
        FileInfo info = new FileInfo(file.toPath(), MD5FileUtil.computeAndSaveMd5ForFile(file));
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(info, last));
        return last.getIndex();
    }

    /** All dated 0: the library orders snapshots by index. */
    private static Store kept(File file) {
        return new FileStore(file.toPath().getParent(), file.getName(), LARGEST, 0);
    }

    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext entry) {
        long index = entry.getLogEntry().getIndex();
        reader.apply(
                index, entry.getLogEntry().getStateMachineLogEntry().getLogData().toByteArray());
        updateLastAppliedTermIndex(entry.getLogEntry().getTerm(), index);
        return CompletableFuture.completedFuture(Message.EMPTY);
    }

    @Override
    public StateMachineStorage getStateMachineStorage() {
        return storage;
    }
}
