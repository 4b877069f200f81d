package tinford.decision;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Calls to the shared counter that have not been answered, by key. The calls of one key are
 * answered in the order in which they were made.
 */
final class CounterCalls {
    /** Time for which the counter keeps a total beyond the two windows in which it is used. */
    private static final double EXTRA_TTL_MS = 1000;

    private final Map<Long, ArrayDeque<CounterCall>> callsByKey = new HashMap<>();

    /** Sends a call that adds units, plus the tenant's unreported usage in the current window. */
    void add(
            Batch batch,
            TenantQuota quota,
            CounterWindow window,
            PendingRequest pending,
            double units) {
        double unreported = window == quota.current() ? quota.takeUnreported() : 0;
        boolean readOnly = pending != null && units == 0;
        send(
                batch,
                new CounterCall(quota, window, pending, units + unreported, unreported, readOnly));
    }

    private void send(Batch batch, CounterCall call) {
        long key = CounterCall.key(call.quota(), call.window());
        callsByKey.computeIfAbsent(key, unused -> new ArrayDeque<>(2)).add(call);
        batch.actions.incrementCounter(
                key, call.amount(), 2 * call.quota().windowMs() + EXTRA_TTL_MS);
    }

    /** Returns the number of keys with unanswered calls. */
    int size() {
        return callsByKey.size();
    }

    /** Removes and returns the oldest call of the key, or returns null if there is none. */
    CounterCall takeOldest(long key) {
        ArrayDeque<CounterCall> calls = callsByKey.get(key);
        if (calls == null) {
            return null;
        }
        CounterCall oldest = calls.poll();
        if (calls.isEmpty()) {
            callsByKey.remove(key);
        }
        return oldest;
    }
}
