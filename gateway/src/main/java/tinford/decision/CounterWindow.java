package tinford.decision;

/** One window of one tenant on the shared counter, as this gateway knows it. */
final class CounterWindow {
    /** Counted from the start of the clock, in windows of the tenant's length. */
    final long index;

    /**
     * Units used by all gateways: as last read, with what a reset of the counter lost and what was
     * added since.
     */
    double total;

    double readAtMs = Double.NEGATIVE_INFINITY;

    /** Units that this gateway added, less what it took back. */
    double ownUnits;

    /** Units that a reset of the counter took off the total. */
    double lostUnits;

    /** This gateway's share of what was used under another plan before. */
    double migratedUnits;

    /** Whether the total has been read at all. */
    boolean wasRead;

    CounterWindow(long index) {
        this.index = index;
    }

    /** What this gateway is known to have used itself. */
    double ownUse() {
        return Math.max(0, ownUnits);
    }

    /** What is left of its weight in an estimate that slides over the window after it. */
    double slidingTotal(double elapsedShare) {
        return total * (1 - elapsedShare);
    }

    /**
     * Takes in the total after a call that added the amount. A total below what this gateway alone
     * has added means that the counter was reset: what was known before is kept on top of the
     * counter's total from then on.
     *
     * @param toleranceUnits by how much the total may be lower before it counts as reset
     */
    void detectReset(double counterTotal, double amount, double toleranceUnits) {
        ownUnits += amount;
        if (counterTotal < ownUnits - toleranceUnits) {
            lostUnits = Math.max(lostUnits, total - Math.max(0, counterTotal - amount));
            ownUnits = counterTotal;
        }
    }
}
