package tinford.decision;

/**
 * A call to the counter that has not been answered.
 *
 * @param pending the request whose units the call adds or whose decision depends on it; null if the
 *     call returns units
 * @param amount units that the call adds
 * @param unreportedUnits part of the amount that is unreported usage of earlier requests
 * @param readOnly whether the call adds nothing and only reads the previous window
 */
record CounterCall(
        TenantQuota quota,
        CounterWindow window,
        PendingRequest pending,
        double amount,
        double unreportedUnits,
        boolean readOnly) {
    private static final int KEY_BITS_FOR_WINDOW = 30;

    /** Returns the key of a tenant's window on the counter. */
    static long key(TenantQuota quota, CounterWindow window) {
        return (quota.tenant().id << KEY_BITS_FOR_WINDOW)
                + (window.index & (1 << KEY_BITS_FOR_WINDOW) - 1);
    }

    static long tenantIdOf(long key) {
        return key >> KEY_BITS_FOR_WINDOW;
    }
}
