package tinford.fleet.config;

import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;

/**
 * A kind of request and how it is served.
 *
 * @param service name of the service that serves it
 * @param latencyObjectiveMs an answer within this time is on time
 * @param timeoutMs after this time the client has given up
 * @param priorityWeight what an answer on time is worth
 * @param lateWeight what a later answer is worth
 * @param idempotency whether a request may run again
 * @param deduplicationScope where an idempotency key drops a repeat; {@link DeduplicationScope#ALL}
 *     with any other effect
 * @param deduplicationWindowMs for how long the key drops a repeat
 * @param streamed whether answers are passed on in parts
 */
public record RouteRecord(
        String name,
        String service,
        double latencyObjectiveMs,
        double timeoutMs,
        double priorityWeight,
        double lateWeight,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        double deduplicationWindowMs,
        boolean streamed) {}
