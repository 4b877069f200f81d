package tinford.decision;

import java.util.Random;
import tinford.api.AttemptOutcome;

/**
 * Sends requests within their quotas to servers, queues them while no slot is free, and sheds what
 * would be late.
 */
final class AdmissionController {
    private final AdmissionQueue queue;
    private final LoadBalancer balancer;
    private final AttemptSender sender;
    private final AttemptGuard guard;
    private final RetryBudget retries;
    private final FinalAnswers answers;
    private final Random random;

    /** Attempts that succeeded: slots become free as often. */
    private final RollingSum completed;

    AdmissionController(
            AdmissionQueue queue,
            LoadBalancer balancer,
            AttemptSender sender,
            AttemptGuard guard,
            RetryBudget retries,
            FinalAnswers answers,
            RollingSum completed,
            Random random) {
        this.queue = queue;
        this.balancer = balancer;
        this.sender = sender;
        this.guard = guard;
        this.retries = retries;
        this.answers = answers;
        this.completed = completed;
        this.random = random;
    }

    /** Sends, queues or rejects a request that is within its quota, or is to be retried. */
    void admit(Batch batch, PendingRequest pending) {
        boolean first = pending.isFirstAttempt();
        double nowMs = batch.nowMs;
        double hardLimitWaitMs =
                first ? pending.quota.hardLimitWaitMs(pending.request.units, nowMs) : 0;
        if (first) {
            offer(batch, pending);
            if (isShedByFleet(batch, pending)) {
                answers.answer(batch, pending, 0);
                return;
            }
        }
        if (sender.send(batch, pending, balancer.pick(batch, pending))) {
            return;
        }
        double queueWaitMs = queueWaitMs(pending, nowMs);
        if (nowMs + queueWaitMs > pending.latestSendMs
                || nowMs + hardLimitWaitMs > pending.latestSendMs) {
            answers.answer(batch, pending, queueWaitMs);
        } else {
            queue.add(pending);
        }
    }

    private void offer(Batch batch, PendingRequest pending) {
        pending.quota.usage().offered.add(batch.nowMs, pending.weight * pending.request.units);
        batch.policy.requestOffered(pending.request, pending.fleetWeight());
        pending.withinQuota = true;
        balancer.requestOffered(batch.nowMs);
    }

    /**
     * What the whole fleet sheds is shed at once, wherever it enters; so is what no server may
     * take.
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
                        RollingSum.SPAN_MS / completed.total(nowMs),
                        pending.request.requestClass.latencyObjectiveMs);
        return queue.countAhead(pending) * slotIntervalMs;
    }

    /** Sends what is queued, as far as slots are free. */
    void drainQueue(Batch batch) {
        for (PendingRequest pending : queue.inOrder()) {
            if (sender.send(batch, pending, balancer.pick(batch, pending))) {
                queue.remove(pending);
            } else if (!balancer.hasFreeSlot()) {
                return;
            }
        }
    }

    /** Answers queued requests that can't be served in time any more. */
    void expireQueued(Batch batch) {
        for (PendingRequest pending : queue.inOrder()) {
            if (batch.nowMs >= pending.latestSendMs) {
                answers.answer(batch, pending, 0);
            }
        }
    }

    /**
     * Retries a request whose attempts have all ended, where time and budget allow it; else answers
     * it.
     */
    void retry(Batch batch, PendingRequest pending, AttemptOutcome outcome) {
        pending.planLatestSend(balancer.typicalMs(pending.request));
        boolean mayRetry =
                batch.nowMs < pending.latestSendMs
                        && !guard.hasNoAttemptLeft(pending)
                        && retries.allows(outcome, batch.policy);
        if (mayRetry) {
            retries.spend(outcome);
            admit(batch, pending);
            return;
        }
        // a request that hangs wherever it goes is to stay away for another objective
        boolean inTime = batch.nowMs < pending.objectiveAtMs;
        double waitMs = inTime ? 0 : pending.request.requestClass.latencyObjectiveMs;
        answers.answer(batch, pending, waitMs);
    }
}
