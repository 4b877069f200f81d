package tinford.fleet.store;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** One member of {@link InMemoryLogs}, over its incarnations. */
final class InMemoryLogMember {
    /** A pending append. */
    static final class Append {
        final byte[] entry;
        final CompletableFuture<Long> result = new CompletableFuture<>();
        final double deadlineMs;
        double dueMs;

        /** Term of the leader that received it; 0 before. */
        long receivedInTerm;

        Append(byte[] entry, double dueMs, double deadlineMs) {
            this.entry = entry;
            this.dueMs = dueMs;
            this.deadlineMs = deadlineMs;
        }

        static Append rejected(LogAppendException reason) {
            Append append = new Append(new byte[0], 0, 0);
            append.result.completeExceptionally(reason);
            return append;
        }
    }

    final int number;
    final List<Append> appends = new ArrayList<>();

    /** Null while the member is stopped. */
    ReplicatedLog.StateMachine stateMachine;

    /** Last entry on the member's disk. */
    long storedIndex;

    /** Last entry that the state machine of this incarnation has applied. */
    long appliedIndex;

    double nextApplyMs;
    long term;
    boolean isLeader;
    private int incarnation;

    InMemoryLogMember(int number) {
        this.number = number;
    }

    boolean isRunning() {
        return stateMachine != null;
    }

    void start(ReplicatedLog.StateMachine newStateMachine) {
        if (isRunning()) {
            throw new IllegalStateException("member " + number + " runs already");
        }
        incarnation++;
        stateMachine = newStateMachine;
        appliedIndex = 0;
    }

    /** Stops the incarnation and fails its pending appends. */
    void close() {
        stateMachine = null;
        isLeader = false;
        List<Append> failed = new ArrayList<>(appends);
        appends.clear();
        failed.forEach(append -> append.result.completeExceptionally(LogAppendException.closed()));
    }

    /** The log as the present incarnation sees it; closed for good once that one has stopped. */
    ReplicatedLog handle(Function<byte[], Append> appender) {
        return new Handle(appender);
    }

    private final class Handle implements ReplicatedLog {
        private final Function<byte[], Append> appender;
        private final int ownIncarnation = incarnation;

        Handle(Function<byte[], Append> appender) {
            this.appender = appender;
        }

        /** Whether the member runs in the incarnation that this handle belongs to. */
        @Override
        public boolean isRunning() {
            return incarnation == ownIncarnation && InMemoryLogMember.this.isRunning();
        }

        @Override
        public CompletableFuture<Long> append(byte[] entry) {
            return isRunning()
                    ? appender.apply(entry).result
                    : CompletableFuture.failedFuture(LogAppendException.closed());
        }

        @Override
        public boolean isLeader() {
            return isRunning() && isLeader;
        }

        @Override
        public long term() {
            return term;
        }

        @Override
        public void close() {
            if (isRunning()) {
                InMemoryLogMember.this.close();
            }
        }
    }
}
