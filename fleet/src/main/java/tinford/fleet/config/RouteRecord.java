package tinford.fleet.config;

import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;

/**
 * A kind of request and how it is served.
 *
 * @param service name of the service that serves it
 * @param targetMs an answer within this time is on time
 * @param timeoutMs after this time the client has given up
 * @param value what an answer on time is worth
 * @param lateValue what a later answer is worth
 * @param effect whether a request may run again
 * @param group where an idempotency key drops a repeat; {@link DeduplicationScope#ALL} with any
 *     other effect
 * @param repeatWindowMs for how long the key drops a repeat
 * @param streamed whether answers are passed on in parts
 */
public record RouteRecord(
        String name,
        String service,
        double targetMs,
        double timeoutMs,
        double value,
        double lateValue,
        Idempotency effect,
        DeduplicationScope group,
        double repeatWindowMs,
        boolean streamed) {}
