package tinford.decision;

/** This gateway's view of one counter window of one tenant. */
final class CounterWindow {
    /**
     * Number of the window since the start of the clock, in units of the tenant's window length.
     */
    final long index;

    /**
     * Units used by all gateways: the total as last read, plus {@link #offsetUnits} and the units
     * that this gateway has added since.
     */
    double total;

    double readAtMs = Double.NEGATIVE_INFINITY;

    /** Units that this gateway has added, less the units that it has returned. */
    double ownUnits;

    /**
     * Units on top of the counter's total: units that the counter lost in a reset, or units that
     * were used under an earlier plan.
     */
    double offsetUnits;

    /** This gateway's share of the units that were used under an earlier plan. */
    double carriedOverUnits;

    /** Whether the total has been read from the counter. */
    boolean wasRead;

    CounterWindow(long index) {
        this.index = index;
    }

    /** Returns the units that this gateway is known to have used itself. */
    double ownUsage() {
        return Math.max(0, ownUnits);
    }

    /**
     * Returns the part of the total that still counts in the sliding window estimate.
     *
     * @param elapsedShare share of the following window that has elapsed
     */
    double slidingTotal(double elapsedShare) {
        return total * (1 - elapsedShare);
    }

    /**
     * Detects from a call's result whether the counter was reset. A total below the units that this
     * gateway alone has added shows a reset; the usage known before is then kept on top of the
     * counter's total.
     *
     * @param counterTotal total that the counter returned
     * @param amount units that the call added
     * @param toleranceUnits shortfall of the total up to which it does not count as a reset
     */
    void detectReset(double counterTotal, double amount, double toleranceUnits) {
        ownUnits += amount;
        if (counterTotal < ownUnits - toleranceUnits) {
            offsetUnits = Math.max(offsetUnits, total - Math.max(0, counterTotal - amount));
            ownUnits = counterTotal;
        }
    }
}
