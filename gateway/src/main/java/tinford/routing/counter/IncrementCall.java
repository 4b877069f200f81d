package tinford.routing.counter;

/** A call that increments a counter key. */
final class IncrementCall {
    final CounterLane lane;
    final long counterKey;
    final double amount;
    final double ttlMs;
    final double createdAtMs;

    /** Whether the outcome has been reported. The response may still arrive later. */
    boolean reported;

    IncrementCall(
            CounterLane lane, long counterKey, double amount, double ttlMs, double createdAtMs) {
        this.lane = lane;
        this.counterKey = counterKey;
        this.amount = amount;
        this.ttlMs = ttlMs;
        this.createdAtMs = createdAtMs;
    }
}
