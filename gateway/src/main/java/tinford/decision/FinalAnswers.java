package tinford.decision;

import java.util.Random;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.api.RequestClass;

/** Sends final responses and releases the state of completed requests. */
final class FinalAnswers {
    private static final double MIN_RETRY_AFTER_MS = 100;

    private final AdmissionQueue queue;
    private final QuotaLimiter quotas;
    private final Random random;

    FinalAnswers(AdmissionQueue queue, QuotaLimiter quotas, Random random) {
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
    void answer(Batch batch, PendingRequest pending, double waitMs) {
        close(batch, pending);
        double retryAfterMs = Math.max(waitMs, MIN_RETRY_AFTER_MS);
        double jitterMs = batch.policy.retryAfterJitterMs();
        if (jitterMs > 0) {
            retryAfterMs += jitterMs * random.nextDouble();
        }
        if (isRetryHarmless(pending)) {
            batch.actions.reject(pending.request, retryAfterMs);
        } else {
            batch.actions.fail(pending.request);
        }
    }

    private static boolean isRetryHarmless(PendingRequest pending) {
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
    void close(Batch batch, PendingRequest pending) {
        boolean neverSent = pending.attempts.isEmpty();
        if (pending.withinQuota && neverSent && !pending.over) {
            batch.policy.requestRejected(pending.request, pending.fleetWeight());
        }
        pending.over = true;
        queue.remove(pending);
        if (pending.countedIn != null && neverSent) {
            quotas.takeBack(batch, pending);
        }
    }
}
