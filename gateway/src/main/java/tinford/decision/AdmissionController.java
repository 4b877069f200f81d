package tinford.decision;

import java.util.Random;
import tinford.api.AttemptOutcome;

/**
 * Sends requests that are within their quotas to servers, queues them while no slot is free, and
 * rejects those that could not be answered in time.
 */
final class AdmissionController {
    private final AdmissionQueue queue;
    private final LoadBalancer balancer;
    private final AttemptSender sender;
    private final AttemptGuard guard;
    private final RetryBudget retries;
    private final RequestCompletion completion;
    private final Random random;

    /** Successful attempts; their rate estimates how often a slot becomes free. */
    private final RollingSum successes;

    AdmissionController(
            AdmissionQueue queue,
            LoadBalancer balancer,
            AttemptSender sender,
            AttemptGuard guard,
            RetryBudget retries,
            RequestCompletion completion,
            RollingSum successes,
            Random random) {
        this.queue = queue;
        this.balancer = balancer;
        this.sender = sender;
        this.guard = guard;
        this.retries = retries;
        this.completion = completion;
        this.successes = successes;
        this.random = random;
    }

    /** Sends, queues or rejects a request that was admitted by its quota or is to be retried. */
    void admit(Batch batch, PendingRequest pending) {
        boolean first = pending.isFirstAttempt();
        double nowMs = batch.nowMs;
        double hardLimitWaitMs =
                first ? pending.quota.hardLimitWaitMs(pending.request.units, nowMs) : 0;
        if (first) {
            recordOffered(batch, pending);
            if (isShedByFleet(batch, pending)) {
                completion.rejectOrFail(batch, pending, 0);
                return;
            }
        }
        if (sender.send(batch, pending, balancer.pick(batch, pending))) {
            return;
        }
        double queueWaitMs = queueWaitMs(pending, nowMs);
        if (nowMs + queueWaitMs > pending.latestSendMs
                || nowMs + hardLimitWaitMs > pending.latestSendMs) {
            completion.rejectOrFail(batch, pending, queueWaitMs);
        } else {
            queue.add(pending);
        }
    }

    private void recordOffered(Batch batch, PendingRequest pending) {
        pending.quota.usage().offered.add(batch.nowMs, pending.weight * pending.request.units);
        batch.policy.requestOffered(pending.request, pending.fleetWeight());
        pending.offered = true;
        balancer.requestOffered(batch.nowMs);
    }

    /**
     * Returns whether the fleet sheds the request. Requests that no server may currently receive
     * are always shed.
     */
    private boolean isShedByFleet(Batch batch, PendingRequest pending) {
        double share =
                batch.policy.isRoutable(pending.request)
                        ? batch.policy.admittedShare(pending.fleetWeight())
                        : 0;
        return share < 1 && random.nextDouble() >= share;
    }

    private double queueWaitMs(PendingRequest pending, double nowMs) {
        double slotIntervalMs =
                Math.min(
                        RollingSum.SPAN_MS / successes.total(nowMs),
                        pending.request.requestClass.latencyObjectiveMs);
        return queue.countAhead(pending) * slotIntervalMs;
    }

    /** Sends queued requests while slots are free. */
    void drainQueue(Batch batch) {
        for (PendingRequest pending : queue.inOrder()) {
            if (sender.send(batch, pending, balancer.pick(batch, pending))) {
                queue.remove(pending);
            } else if (!balancer.hasFreeSlot()) {
                return;
            }
        }
    }

    /** Completes queued requests that can no longer be served in time. */
    void expireQueued(Batch batch) {
        for (PendingRequest pending : queue.inOrder()) {
            if (batch.nowMs >= pending.latestSendMs) {
                completion.rejectOrFail(batch, pending, 0);
            }
        }
    }

    /**
     * Retries a request whose attempts have all ended if time and retry budget allow it; otherwise
     * completes it.
     */
    void retry(Batch batch, PendingRequest pending, AttemptOutcome outcome) {
        pending.updateLatestSend(balancer.typicalLatencyMs(pending.request));
        boolean mayRetry =
                batch.nowMs < pending.latestSendMs
                        && !guard.isAttemptLimitReached(pending)
                        && retries.allows(outcome, batch.policy);
        if (mayRetry) {
            retries.spend(outcome);
            admit(batch, pending);
            return;
        }
        // a request that times out at any server should not be retried within another objective
        boolean inTime = batch.nowMs < pending.objectiveAtMs;
        double waitMs = inTime ? 0 : pending.request.requestClass.latencyObjectiveMs;
        completion.rejectOrFail(batch, pending, waitMs);
    }
}
