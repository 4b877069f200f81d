package tinford.decision;

import tinford.api.Idempotency;
import tinford.api.Request;
import tinford.api.RequestClass;

/** Sends attempts and updates the accounting of quotas, retry budget and servers. */
final class AttemptSender {
    /**
     * Share of the latency objective after which an attempt times out past the objective, if late
     * responses of its request class have no weight.
     */
    private static final double LATE_TIMEOUT_SHARE_OF_OBJECTIVE = 0.25;

    private static final double MIN_TIMEOUT_MS = 50;

    private final AttemptGuard guard;
    private final LoadBalancer balancer;
    private final RetryBudget retries;
    private final double tickMs;

    AttemptSender(AttemptGuard guard, LoadBalancer balancer, RetryBudget retries, double tickMs) {
        this.guard = guard;
        this.balancer = balancer;
        this.retries = retries;
        this.tickMs = tickMs;
    }

    /**
     * Sends the request to the server if the rules allow it.
     *
     * @param server the server, or null if none is available
     * @return whether an attempt was sent
     */
    boolean send(Batch batch, PendingRequest pending, ServerStats server) {
        Request request = pending.request;
        if (server == null || !guard.allows(batch, pending, server) || request.clientGone()) {
            return false;
        }
        boolean retry = !pending.isFirstAttempt();
        if (!retry) {
            recordFirstAttempt(pending, batch.nowMs);
        }
        batch.policy.attemptSent(request, server.server, pending.fleetWeight(), retry);
        double sendWithinMs = sendWithinMs(pending, batch.nowMs);
        pending.attempts.add(balancer.startAttempt(pending, server, batch.nowMs));
        pending.quota.attemptStarted();
        batch.actions.sendAttempt(
                request, server.server, timeoutMs(pending, batch.nowMs), sendWithinMs);
        return true;
    }

    private void recordFirstAttempt(PendingRequest pending, double nowMs) {
        double units = pending.request.units;
        pending.quota.takeFromHardLimit(units);
        pending.quota.usage().forwarded.add(nowMs, pending.weight * units);
        retries.firstAttemptSent(pending.weight);
    }

    private double sendWithinMs(PendingRequest pending, double nowMs) {
        boolean keyed = pending.request.requestClass.idempotency == Idempotency.IDEMPOTENCY_KEY;
        return keyed ? pending.deduplicationLeftMs(nowMs, tickMs) : PendingRequest.UNBOUNDED_MS;
    }

    /**
     * Returns the timeout of an attempt, or 0 for none. Attempts whose late responses have no
     * weight time out, so that a request that never completes does not hold a server and a slot.
     */
    private static double timeoutMs(PendingRequest pending, double nowMs) {
        RequestClass requestClass = pending.request.requestClass;
        if (requestClass.lateWeight > 0) {
            return 0;
        }
        double usefulMs =
                pending.objectiveAtMs
                        - nowMs
                        + LATE_TIMEOUT_SHARE_OF_OBJECTIVE * requestClass.latencyObjectiveMs;
        return Math.max(usefulMs, MIN_TIMEOUT_MS);
    }
}
