package tinford.routing.counter;

/** One call that increments a counter key. */
final class IncrementCall {
    final CounterLane lane;
    final long counterKey;
    final double amount;
    final double ttlMs;
    final double madeAtMs;

    /** Whether its outcome has been reported; its response may still follow. */
    boolean reported;

    IncrementCall(CounterLane lane, long counterKey, double amount, double ttlMs, double madeAtMs) {
        this.lane = lane;
        this.counterKey = counterKey;
        this.amount = amount;
        this.ttlMs = ttlMs;
        this.madeAtMs = madeAtMs;
    }
}
