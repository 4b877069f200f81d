package tinford.lab.scale;

import java.util.concurrent.atomic.LongAdder;
import tinford.fleet.store.ReplicatedLog;

/** A replicated state of no content: it only counts what it was handed. */
final class CountingReader implements ReplicatedLog.StateMachine {
    private final LongAdder applied;

    /**
     * @param applied shared by the readers of all members
     */
    CountingReader(LongAdder applied) {
        this.applied = applied;
    }

    @Override
    public void apply(long index, byte[] entry) {
        applied.increment();
    }

    @Override
    public byte[] snapshot() {
        return new byte[0];
    }

    @Override
    public void restore(long index, byte[] snapshot) {}
}
