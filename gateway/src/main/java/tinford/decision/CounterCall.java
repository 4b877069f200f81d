package tinford.decision;

/**
 * A call on the counter that has not been answered.
 *
 * @param pending the request whose units it adds or whose answer waits for it; null where it takes
 *     units back
 * @param amount units that it adds
 * @param unreportedUnits part of the amount that earlier requests used
 * @param readsOnly it adds nothing and reads the window before
 */
record CounterCall(
        TenantQuota quota,
        CounterWindow window,
        PendingRequest pending,
        double amount,
        double unreportedUnits,
        boolean readsOnly) {
    private static final int KEY_BITS_FOR_WINDOW = 30;

    /** The counter's key for a tenant's window. */
    static long key(TenantQuota quota, CounterWindow window) {
        return (quota.tenant().id << KEY_BITS_FOR_WINDOW)
                + (window.index & (1 << KEY_BITS_FOR_WINDOW) - 1);
    }

    static long tenantOf(long key) {
        return key >> KEY_BITS_FOR_WINDOW;
    }
}
