package tinford.decision;

import java.util.ArrayDeque;
import java.util.Random;
import tinford.api.AttemptOutcome;
import tinford.api.CounterSettings;
import tinford.api.Plan;
import tinford.api.Request;
import tinford.api.Tenant;

/**
 * Enforces the tenants' quotas. Normally a request's units are added to the tenant's window on the
 * shared counter, and the returned total decides. If the counter is unresponsive, slow or
 * overloaded with calls, a fallback decides from the state of this gateway.
 */
final class QuotaLimiter {
    /** Time for which a total that shows an exhausted quota is used without another call. */
    private static final double EXHAUSTED_TOTAL_VALIDITY_MS = 500;

    /** Maximum wait for the counter, as a share of the latency objective. */
    private static final double MAX_WAIT_SHARE_OF_OBJECTIVE = 0.05;

    private final CounterSettings settings;
    private final QuotaDecisionHandler decisionHandler;
    private final Random random;
    private final CounterPacer pacer;
    private final CounterCalls calls = new CounterCalls();
    private final TenantQuotas quotas;

    /** Requests that may be waiting for the counter, in the order of arrival. */
    private final ArrayDeque<PendingRequest> waiting = new ArrayDeque<>();

    QuotaLimiter(
            CounterSettings settings,
            int gatewayCount,
            QuotaDecisionHandler decisionHandler,
            PlanFairness fairness,
            RequestSizeModel sizes,
            GatewayLifecycle lifecycle,
            Random random) {
        this.settings = settings;
        this.decisionHandler = decisionHandler;
        this.quotas = new TenantQuotas(fairness, sizes, lifecycle);
        this.random = random;
        this.pacer = new CounterPacer(settings, gatewayCount);
    }

    /**
     * Returns the tenant's quota, under the tenant's current plan; null if there is no memory for a
     * new tenant.
     */
    TenantQuota quotaOf(Batch batch, Tenant tenant) {
        TenantQuota quota = quotas.getOrCreate(batch, tenant);
        if (quota != null) {
            quota.changePlan(tenant, batch.nowMs);
        }
        return quota;
    }

    /** Bounds memory: after two windows without a request a tenant's totals no longer count. */
    void evictIdleTenants(Batch batch) {
        quotas.evictIdle(batch.actions, batch.nowMs);
    }

    /** Returns the number of tracked tenants and counter calls. */
    int trackedEntries() {
        return quotas.size() + calls.size();
    }

    /** Calls the counter for a request that has arrived, or decides without the counter. */
    void checkQuota(Batch batch, PendingRequest pending) {
        double nowMs = batch.nowMs;
        TenantQuota quota = pending.quota;
        double units = pending.request.units;
        quota.rollWindows(nowMs);
        quota.recordRequest(nowMs);
        if (quota.plan().quotaPerMs <= 0 || !settings.present()) {
            decideWithoutCounter(batch, pending);
            return;
        }
        if (quota.isKnownExhausted(units, EXHAUSTED_TOTAL_VALIDITY_MS, nowMs)) {
            decisionHandler.reject(batch, pending, quota.timeUntilAvailableMs(units, nowMs));
            return;
        }
        boolean unresponsive = pacer.isUnresponsive();
        double intervalMs =
                unresponsive ? pacer.probeIntervalMs() : pacer.gapMs() * quota.callGapFactor(nowMs);
        if (!pacer.hasIntervalPassed(intervalMs, nowMs)) {
            if (decideWithoutCounter(batch, pending)) {
                quota.addUnreported(units);
            }
            return;
        }
        pacer.callSent(nowMs);
        calls.add(batch, quota, quota.current(), pending, units);
        if (unresponsive) {
            decideByFallback(batch, pending);
        } else {
            waiting.add(pending);
        }
    }

    /** Ends waits for the counter that have lasted too long, whichever window is missing. */
    void expireWaits(Batch batch) {
        while (!waiting.isEmpty()) {
            PendingRequest pending = waiting.peek();
            double maxWaitMs =
                    MAX_WAIT_SHARE_OF_OBJECTIVE * pending.request.requestClass.latencyObjectiveMs;
            if (isUndecided(pending) && batch.nowMs - pending.arrivedAtMs < maxWaitMs) {
                return;
            }
            waiting.poll();
            decideByFallback(batch, pending);
            if (pending.awaitsPreviousWindow) {
                decideByTotals(batch, pending);
            }
        }
    }

    private static boolean isUndecided(PendingRequest pending) {
        return !pending.quotaDecided || pending.awaitsPreviousWindow;
    }

    /** Decides without the counter for a request that is still undecided. */
    private void decideByFallback(Batch batch, PendingRequest pending) {
        if (!pending.quotaDecided) {
            pending.quotaDecided = true;
            pending.admittedByFallback = !pending.completed && decideWithoutCounter(batch, pending);
        }
    }

    /** Handles the result of the oldest call of a key. */
    void counterAnswered(
            Batch batch, long key, AttemptOutcome outcome, double tookMs, double total) {
        CounterCall call = calls.takeOldest(key);
        if (call == null) {
            return;
        }
        pacer.callEnded(outcome, tookMs, batch.nowMs);
        boolean answered = outcome == AttemptOutcome.SUCCESS;
        if (answered) {
            readTotal(call, total, batch.nowMs);
        }
        if (call.readOnly()) {
            if (call.pending().awaitsPreviousWindow) {
                decideByTotals(batch, call.pending());
            }
        } else if (answered) {
            additionAnswered(batch, call);
        } else {
            additionFailed(batch, call, outcome);
        }
    }

    private void readTotal(CounterCall call, double total, double nowMs) {
        CounterWindow window = call.window();
        window.detectReset(total, call.amount(), settings.maxRequestUnits());
        boolean addsRequest = !call.readOnly() && call.pending() != null;
        double units = addsRequest ? call.pending().request.units : 0;
        call.quota().updateTotal(window, total + window.offsetUnits, units, nowMs);
    }

    private void additionFailed(Batch batch, CounterCall call, AttemptOutcome outcome) {
        TenantQuota quota = call.quota();
        PendingRequest pending = call.pending();
        if (pending != null) {
            decideByFallback(batch, pending);
        }
        if (!outcome.mayHaveRun) {
            // the next call reports the usage or returns the units
            boolean used = pending == null || pending.admittedByFallback;
            quota.addUnreported(used ? call.amount() : call.unreportedUnits());
        } else if (pacer.isSlow(batch.nowMs) && pending != null && !pending.admittedByFallback) {
            // a slow counter adds the units after the timeout; those of a rejected request are
            // returned
            quota.addUnreported(-pending.request.units);
        }
    }

    private void additionAnswered(Batch batch, CounterCall call) {
        PendingRequest pending = call.pending();
        if (pending == null || pending.admittedByFallback) {
            return;
        }
        pending.countedWindow = call.window();
        pending.countedTotal = call.window().total;
        if (pending.quotaDecided) {
            returnUnits(batch, pending);
            return;
        }
        pending.quotaDecided = true;
        if (needsPreviousWindow(call, batch.nowMs)) {
            pending.awaitsPreviousWindow = true;
            calls.add(batch, call.quota(), call.quota().previous(), pending, 0);
        } else {
            decideByTotals(batch, pending);
        }
    }

    /** While calls are spaced out, none is made that can't change the decision. */
    private boolean needsPreviousWindow(CounterCall call, double nowMs) {
        TenantQuota quota = call.quota();
        return !call.pending().completed
                && call.window() == quota.current()
                && !quota.previous().wasRead
                && (!pacer.isPacing() || quota.previousWindowMatters(nowMs));
    }

    /**
     * Applies a total that arrived after the call timed out. It is still valid, but does not
     * include unreported usage.
     */
    void counterAnsweredLate(long key, double total, double nowMs) {
        TenantQuota quota = quotas.get(CounterCall.tenantIdOf(key));
        if (quota == null) {
            return;
        }
        quota.rollWindows(nowMs);
        pacer.lateAnswerReceived(nowMs);
        CounterWindow current = quota.current();
        if (key == CounterCall.key(quota, current)) {
            double known = total + current.offsetUnits + quota.unreportedUnits();
            quota.updateTotal(current, known, 0, nowMs);
        }
    }

    private void decideByTotals(Batch batch, PendingRequest pending) {
        double nowMs = batch.nowMs;
        TenantQuota quota = pending.quota;
        quota.rollWindows(nowMs);
        pending.awaitsPreviousWindow = false;
        if (pending.completed) {
            if (pending.countedWindow != null) {
                returnUnits(batch, pending);
            }
            return;
        }
        CounterWindow current = quota.current();
        double total = current == pending.countedWindow ? pending.countedTotal : current.total;
        if (quota.isWithinQuota(total, nowMs)) {
            quota.chargeLocalBucket(pending.request.units, nowMs);
            decisionHandler.admit(batch, pending);
        } else {
            decisionHandler.reject(batch, pending, quota.timeUntilAvailableMs(0, nowMs));
        }
    }

    /** Returns to the counter the units of a request for which no attempt was sent. */
    void returnUnits(Batch batch, PendingRequest pending) {
        double units = pending.request.units;
        pending.quota.addUsage(pending.countedWindow, -units);
        calls.add(batch, pending.quota, pending.countedWindow, null, -units);
        pending.countedWindow = null;
    }

    /**
     * Decides without a total from the counter. Plans for which usage beyond the quota has no cost
     * fail open; for others a recent total or the per-gateway share decides.
     *
     * @return whether the request was within its quota
     */
    private boolean decideWithoutCounter(Batch batch, PendingRequest pending) {
        TenantQuota quota = pending.quota;
        Plan plan = quota.plan();
        Request request = pending.request;
        boolean metered = plan.quotaPerMs > 0;
        boolean within = !metered || quota.takeWithoutCounter(request.units, random, batch.nowMs);
        if (!within) {
            pending.weight *= plan.overQuotaWeight;
        }
        // counted like a read total: the units are unreported, or were added by an unanswered call
        if (within && metered && settings.present()) {
            pending.countedWindow = quota.current();
            quota.addUsage(quota.current(), request.units);
        }
        if (within || quota.failsOpen()) {
            decisionHandler.admit(batch, pending);
        } else {
            decisionHandler.reject(batch, pending, request.units / plan.quotaPerMs);
        }
        return within;
    }

    /** Adds the difference to the actual units of a request to the tenant's next call. */
    void settle(PendingRequest pending, double settledUnits) {
        if (pending.countedWindow != null) {
            pending.quota.addUnreported(settledUnits - pending.request.units);
        }
        pending.countedWindow = null;
    }
}
