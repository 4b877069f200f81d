package tinford.api;

/** A kind of req, as the operators set it up. */
public final class RequestClass {
    public final String name;
    public final double latencyObjectiveMs;
    public final double timeoutMs;
    public final double priorityWeight;
    public final double lateWeight;
    public final Idempotency idempotency;
    public final DeduplicationScope deduplicationScope;
    public final double deduplicationWindowMs;
    public final boolean streamed;

    public RequestClass(
            String name,
            double latencyObjectiveMs,
            double timeoutMs,
            double priorityWeight,
            double lateWeight,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            double deduplicationWindowMs,
            boolean streamed) {
        this.name = name;
        this.latencyObjectiveMs = latencyObjectiveMs;
        this.timeoutMs = timeoutMs;
        this.priorityWeight = priorityWeight;
        this.lateWeight = lateWeight;
        this.idempotency = idempotency;
        this.deduplicationScope = deduplicationScope;
        this.deduplicationWindowMs = deduplicationWindowMs;
        this.streamed = streamed;
    }
}
