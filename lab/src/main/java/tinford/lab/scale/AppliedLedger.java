package tinford.lab.scale;

import tinford.fleet.budget.BudgetLedger;
import tinford.fleet.store.ReplicatedLog;

/** A member's ledger that counts what it was handed, and the time that it took. */
final class AppliedLedger implements ReplicatedLog.StateMachine {
    private final BudgetLedger ledger;
    private long entries;
    private long nanos;

    AppliedLedger(BudgetLedger ledger) {
        this.ledger = ledger;
    }

    BudgetLedger ledger() {
        return ledger;
    }

    long entries() {
        return entries;
    }

    /** Elapsed time, which on a thread that does nothing else is its processor time. */
    double processorMs() {
        return nanos / 1e6;
    }

    @Override
    public void apply(long index, byte[] entry) {
        long started = System.nanoTime();
        ledger.apply(index, entry);
        nanos += System.nanoTime() - started;
        entries++;
    }

    @Override
    public byte[] snapshot() {
        return ledger.snapshot();
    }

    @Override
    public void restore(long index, byte[] snapshot) {
        ledger.restore(index, snapshot);
    }
}
