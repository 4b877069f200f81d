package tinford.decision;

import java.util.Random;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.api.RequestClass;

/** Sends final responses and releases the state of completed requests. */
final class RequestCompletion {
    private static final double MIN_RETRY_AFTER_MS = 100;

    private final AdmissionQueue queue;
    private final QuotaLimiter quotas;
    private final Random random;

    RequestCompletion(AdmissionQueue queue, QuotaLimiter quotas, Random random) {
        this.queue = queue;
        this.quotas = quotas;
        this.random = random;
    }

    /**
     * Completes a request without a server's response. It is rejected if its client may safely send
     * it again, and failed otherwise.
     *
     * @param waitMs expected time in ms until a retry may succeed
     */
    void rejectOrFail(Batch batch, PendingRequest pending, double waitMs) {
        complete(batch, pending);
        double retryAfterMs = Math.max(waitMs, MIN_RETRY_AFTER_MS);
        double jitterMs = batch.policy.retryAfterJitterMs();
        if (jitterMs > 0) {
            retryAfterMs += jitterMs * random.nextDouble();
        }
        if (isClientRetrySafe(pending)) {
            batch.actions.reject(pending.request, retryAfterMs);
        } else {
            batch.actions.fail(pending.request);
        }
    }

    private static boolean isClientRetrySafe(PendingRequest pending) {
        RequestClass requestClass = pending.request.requestClass;
        return requestClass.idempotency == Idempotency.IDEMPOTENT
                || !pending.mayHaveRun()
                || requestClass.idempotency == Idempotency.IDEMPOTENCY_KEY
                        && requestClass.deduplicationScope == DeduplicationScope.ALL;
    }

    /**
     * Ends the processing of a request. Units that were counted are returned if no attempt was
     * sent.
     */
    void complete(Batch batch, PendingRequest pending) {
        boolean neverSent = pending.attempts.isEmpty();
        if (pending.offered && neverSent && !pending.completed) {
            batch.policy.requestRejected(pending.request, pending.fleetWeight());
        }
        if (!pending.completed) {
            pending.quota.requestCompleted();
        }
        pending.completed = true;
        queue.remove(pending);
        if (pending.countedWindow != null && neverSent) {
            quotas.returnUnits(batch, pending);
        }
    }
}
