package tinford.api;

/** A class of requests, as configured by the operators. */
public final class RequestClass {
    /** Name of the class. */
    public final String name;

    /** Latency objective in ms: responses within it count as on time. */
    public final double latencyObjectiveMs;

    /** Time in ms after which a client stops waiting. */
    public final double timeoutMs;

    /** Priority weight of a unit whose response is on time. */
    public final double priorityWeight;

    /** Fraction of the priority weight that a late response earns. */
    public final double lateWeight;

    /** Whether a request may run more than once. */
    public final Idempotency idempotency;

    /** Scope within which servers drop repeats with the same idempotency key. */
    public final DeduplicationScope deduplicationScope;

    /** Time in ms for which servers drop such repeats. */
    public final double deduplicationWindowMs;

    /** Whether responses are streamed to the client as they arrive. */
    public final boolean streamed;

    /** Creates a class; the parameters are described with the fields of the same names. */
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
