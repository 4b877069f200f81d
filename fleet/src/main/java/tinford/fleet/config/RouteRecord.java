package tinford.fleet.config;

import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;

/**
 * A class of requests and how it is served.
 *
 * @param service name of the service that serves it
 * @param latencyObjectiveMs a response within this time is on time
 * @param timeoutMs the client gives up after this time
 * @param priorityWeight weight of a response on time
 * @param lateWeight weight of a later response
 * @param idempotency whether a request may be executed more than once
 * @param deduplicationScope the servers that drop a repeat with the same idempotency key; {@link
 *     DeduplicationScope#ALL} without keys
 * @param deduplicationWindowMs how long a key is remembered
 * @param streamed whether responses are forwarded in parts
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
