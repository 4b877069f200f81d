package tinford.routing.client;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.api.RequestClass;
import tinford.protocol.ProtocolException;
import tinford.routing.RoutingContext;
import tinford.transport.MemoryBudget;

/**
 * The ids of requests that servers may have executed, and whose clients left before they had read
 * the answer. Such a client may send the request again on another connection, where it would be
 * taken for a new one.
 */
final class ExecutedIds {
    /** A map entry with its key and value. */
    private static final int ENTRY_BYTES = 128;

    /** The part of the memory budget that the ids may take. */
    private static final int MEMORY_DIVISOR = 16;

    private final RoutingContext context;
    private final MemoryBudget budget;

    /** The time until which each id is kept, the oldest id first. */
    private final Map<Long, Double> expiryMs = new LinkedHashMap<>();

    private long countedBytes;

    ExecutedIds(RoutingContext context) {
        this.context = context;
        this.budget = context.loop().memoryBudget();
    }

    /** Whether a request of the class must not be sent again to any server once it may have run. */
    static boolean isKeptFor(RequestClass requestClass) {
        boolean isDeduplicatedEverywhere =
                requestClass.idempotency == Idempotency.IDEMPOTENCY_KEY
                        && requestClass.deduplicationScope == DeduplicationScope.ALL;
        return requestClass.idempotency != Idempotency.IDEMPOTENT && !isDeduplicatedEverywhere;
    }

    /**
     * Keeps an id; without memory for it, the oldest one is forgotten.
     *
     * @param retentionMs how long a client may send the request again
     */
    void add(long id, double retentionMs) {
        removeExpired();
        expiryMs.remove(id);
        while (!expiryMs.isEmpty() && !hasRoom()) {
            removeOldest();
            context.warn(
                    "executed ids forgotten early",
                    "kept=" + expiryMs.size(),
                    new ProtocolException("memory for the ids of all clients that left"));
        }
        expiryMs.put(id, context.nowMs() + retentionMs);
        countMemory();
    }

    private boolean hasRoom() {
        long bytes = (expiryMs.size() + 1L) * ENTRY_BYTES;
        return bytes <= budget.limitBytes() / MEMORY_DIVISOR;
    }

    boolean contains(long id) {
        removeExpired();
        return expiryMs.containsKey(id);
    }

    private void removeExpired() {
        Iterator<Double> times = expiryMs.values().iterator();
        while (times.hasNext() && times.next() <= context.nowMs()) {
            times.remove();
        }
        countMemory();
    }

    private void removeOldest() {
        Iterator<Double> times = expiryMs.values().iterator();
        times.next();
        times.remove();
        countMemory();
    }

    private void countMemory() {
        long bytes = (long) expiryMs.size() * ENTRY_BYTES;
        if (bytes > countedBytes) {
            budget.add(bytes - countedBytes);
        } else {
            budget.release(countedBytes - bytes);
        }
        countedBytes = bytes;
    }
}
