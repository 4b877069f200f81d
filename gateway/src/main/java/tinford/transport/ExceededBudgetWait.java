package tinford.transport;

/** Waits until the memory budget is no longer exceeded. */
record ExceededBudgetWait(MemoryBudget budget, Runnable onEnd) implements MemoryBudget.Waiter {
    @Override
    public boolean tryProceed() {
        if (budget.isExceeded()) {
            return false;
        }
        onEnd.run();
        return true;
    }

    @Override
    public boolean isWithinShare() {
        return true;
    }
}
