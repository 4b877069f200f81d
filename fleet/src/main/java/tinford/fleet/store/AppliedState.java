package tinford.fleet.store;

/**
 * A state machine with the index up to which it has applied the log, over all incarnations of its
 * member: the library replays the entries since its last snapshot at each start.
 */
final class AppliedState {
    private final ReplicatedLog.StateMachine stateMachine;
    private long appliedIndex;

    AppliedState(ReplicatedLog.StateMachine stateMachine) {
        this.stateMachine = stateMachine;
    }

    synchronized void apply(long index, byte[] entry) {
        if (index > appliedIndex) {
            stateMachine.apply(index, entry);
            appliedIndex = index;
        }
    }

    synchronized void restore(long index, byte[] snapshot) {
        if (index > appliedIndex) {
            stateMachine.restore(index, snapshot);
            appliedIndex = index;
        }
    }

    /** The state after the entries up to that index, or null if it has applied later ones. */
    synchronized byte[] snapshotAt(long index) {
        return index < appliedIndex ? null : stateMachine.snapshot();
    }
}
