package tinford.fleet.config;

import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;

/**
 * A request class and how its requests are served.
 *
 * @param service name of the service that serves the requests
 * @param latencyObjectiveMs latency objective: a response within this time is on time
 * @param timeoutMs time after which the client gives up
 * @param priorityWeight priority weight of a response on time
 * @param lateWeight priority weight of a later response
 * @param idempotency whether a request may be executed more than once
 * @param deduplicationScope the set of servers within which a duplicate with the same idempotency
 *     key is dropped; {@link DeduplicationScope#ALL} for routes without idempotency keys
 * @param deduplicationWindowMs how long servers remember an idempotency key
 * @param streamed whether responses are forwarded in parts as they arrive
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
