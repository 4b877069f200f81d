package tinford.decision;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Calls on the shared counter that have not been answered, by key; answers of one key come in the
 * order of its calls.
 */
final class CounterCalls {
    /** For how long the counter keeps a total after the two windows in which it counts. */
    private static final double EXTRA_TTL_MS = 1000;

    private final Map<Long, ArrayDeque<CounterCall>> callsByKey = new HashMap<>();

    /** Adds the units of the request, and in the current window what is unreported. */
    void add(
            Batch batch,
            TenantQuota quota,
            CounterWindow window,
            PendingRequest pending,
            double units) {
        double unreported = window == quota.current() ? quota.takeUnreported() : 0;
        boolean readsOnly = pending != null && units == 0;
        send(
                batch,
                new CounterCall(quota, window, pending, units + unreported, unreported, readsOnly));
    }

    private void send(Batch batch, CounterCall call) {
        long key = CounterCall.key(call.quota(), call.window());
        callsByKey.computeIfAbsent(key, unused -> new ArrayDeque<>(2)).add(call);
        batch.actions.incrementCounter(
                key, call.amount(), 2 * call.quota().windowMs() + EXTRA_TTL_MS);
    }

    /** Keys with a call under way. */
    int size() {
        return callsByKey.size();
    }

    /** The oldest call of the key, which is then no longer under way; null where there is none. */
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
