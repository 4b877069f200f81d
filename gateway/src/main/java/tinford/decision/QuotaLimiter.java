package tinford.decision;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import tinford.api.AttemptOutcome;
import tinford.api.CounterSettings;
import tinford.api.Plan;
import tinford.api.Request;
import tinford.api.Tenant;

/**
 * Holds tenants to their quotas. The ordinary path adds a request's units to the tenant's window on
 * the shared counter and decides by the total that comes back; where the counter is silent, slow or
 * short of calls, a fallback decides by this gateway's own knowledge.
 */
final class QuotaLimiter {
    /** An exhausted quota is believed for so long without another call. */
    private static final double EXHAUSTED_TRUST_MS = 500;

    /** Longest wait for the counter, as a part of the latency objective. */
    private static final double MAX_WAIT_SHARE_OF_OBJECTIVE = 0.05;

    private final CounterSettings settings;
    private final QuotaVerdicts verdicts;
    private final PlanFairness fairness;
    private final RequestSizeModel sizes;
    private final GatewayLifecycle lifecycle;
    private final Random random;
    private final CounterPacer pacer;
    private final CounterCalls calls = new CounterCalls();
    private final Map<Long, TenantQuota> quotas = new HashMap<>();

    /** Requests that may wait for the counter, in the order of arrival. */
    private final ArrayDeque<PendingRequest> waiting = new ArrayDeque<>();

    QuotaLimiter(
            CounterSettings settings,
            int gatewayCount,
            QuotaVerdicts verdicts,
            PlanFairness fairness,
            RequestSizeModel sizes,
            GatewayLifecycle lifecycle,
            Random random) {
        this.settings = settings;
        this.verdicts = verdicts;
        this.fairness = fairness;
        this.sizes = sizes;
        this.lifecycle = lifecycle;
        this.random = random;
        this.pacer = new CounterPacer(settings, gatewayCount);
    }

    /** The tenant's quota, under the plan that the tenant has now. */
    TenantQuota quotaOf(Tenant tenant, double nowMs) {
        TenantQuota quota = quotas.get(tenant.id);
        if (quota == null) {
            quota = new TenantQuota(tenant, fairness, sizes, lifecycle, nowMs);
            quotas.put(tenant.id, quota);
        }
        quota.moveTo(tenant, nowMs);
        return quota;
    }

    /** Bounds memory: after two windows without a request no count of a tenant matters any more. */
    void forgetIdleTenants(double nowMs) {
        quotas.values().removeIf(quota -> quota.isForgettable(nowMs));
    }

    /** Tenants and calls that are kept. */
    int trackedEntries() {
        return quotas.size() + calls.size();
    }

    /** Asks the counter about a request that has arrived, or decides without it. */
    void check(Batch batch, PendingRequest pending) {
        double nowMs = batch.nowMs;
        TenantQuota quota = pending.quota;
        double units = pending.request.units;
        quota.roll(nowMs);
        quota.touch(nowMs);
        if (quota.plan().quotaPerMs <= 0 || !settings.present()) {
            decideWithoutCounter(batch, pending);
            return;
        }
        if (quota.isKnownExhausted(units, EXHAUSTED_TRUST_MS, nowMs)) {
            verdicts.reject(batch, pending, quota.fitsInMs(units, nowMs));
            return;
        }
        boolean silent = pacer.isSilent();
        double pauseMs =
                silent ? pacer.probeIntervalMs() : pacer.gapMs() * quota.callGapFactor(nowMs);
        if (!pacer.hasPassed(pauseMs, nowMs)) {
            if (decideWithoutCounter(batch, pending)) {
                quota.addUnreported(units);
            }
            return;
        }
        pacer.callSent(nowMs);
        calls.add(batch, quota, quota.current(), pending, units);
        if (silent) {
            decideByFallback(batch, pending);
        } else {
            waiting.add(pending);
        }
    }

    /** Ends waits that have lasted too long, whichever window's answer is missing. */
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

    /**
     * Decides for a request whose answer from the counter is not awaited any more, if nothing has
     * decided yet.
     */
    private void decideByFallback(Batch batch, PendingRequest pending) {
        if (!pending.quotaDecided) {
            pending.quotaDecided = true;
            pending.admittedByFallback = !pending.over && decideWithoutCounter(batch, pending);
        }
    }

    /** The counter's answer to the oldest call of a key, or the news that there is none. */
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
        if (call.readsOnly()) {
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
        boolean addsRequest = !call.readsOnly() && call.pending() != null;
        double units = addsRequest ? call.pending().request.units : 0;
        call.quota().updateTotal(window, total + window.lostUnits, units, nowMs);
    }

    private void additionFailed(Batch batch, CounterCall call, AttemptOutcome outcome) {
        TenantQuota quota = call.quota();
        PendingRequest pending = call.pending();
        if (pending != null) {
            decideByFallback(batch, pending);
        }
        if (!outcome.mayHaveRun) {
            // what is used, or to be taken back, goes with the next call
            boolean used = pending == null || pending.admittedByFallback;
            quota.addUnreported(used ? call.amount() : call.unreportedUnits());
        } else if (pacer.isSlow(batch.nowMs) && pending != null && !pending.admittedByFallback) {
            // a slow counter adds it all the same: what was rejected is taken off again
            quota.addUnreported(-pending.request.units);
        }
    }

    private void additionAnswered(Batch batch, CounterCall call) {
        PendingRequest pending = call.pending();
        if (pending == null || pending.admittedByFallback) {
            return;
        }
        pending.countedIn = call.window();
        pending.countedTotal = call.window().total;
        if (pending.quotaDecided) {
            takeBack(batch, pending);
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

    /** A counter that is short of calls is spared those that can't change an answer. */
    private boolean needsPreviousWindow(CounterCall call, double nowMs) {
        TenantQuota quota = call.quota();
        return !call.pending().over
                && call.window() == quota.current()
                && !quota.previous().wasRead
                && (!pacer.isGapKept() || quota.previousWindowMatters(nowMs));
    }

    /**
     * A total that comes after its call was given up is true all the same; what is unreported is
     * not in it.
     */
    void counterAnsweredLate(long key, double total, double nowMs) {
        TenantQuota quota = quotas.get(CounterCall.tenantOf(key));
        if (quota == null) {
            return;
        }
        quota.roll(nowMs);
        pacer.lateAnswer(nowMs);
        CounterWindow current = quota.current();
        if (key == CounterCall.key(quota, current)) {
            double known = total + current.lostUnits + quota.unreportedUnits();
            quota.updateTotal(current, known, 0, nowMs);
        }
    }

    private void decideByTotals(Batch batch, PendingRequest pending) {
        double nowMs = batch.nowMs;
        TenantQuota quota = pending.quota;
        quota.roll(nowMs);
        pending.awaitsPreviousWindow = false;
        if (pending.over) {
            if (pending.countedIn != null) {
                takeBack(batch, pending);
            }
            return;
        }
        CounterWindow current = quota.current();
        double total = current == pending.countedIn ? pending.countedTotal : current.total;
        if (quota.fits(total, nowMs)) {
            quota.chargeLocalBucket(pending.request.units, nowMs);
            verdicts.admit(batch, pending);
        } else {
            verdicts.reject(batch, pending, quota.fitsInMs(0, nowMs));
        }
    }

    /** Takes the units of a request that was never sent off the counter again. */
    void takeBack(Batch batch, PendingRequest pending) {
        double units = pending.request.units;
        pending.quota.spend(pending.countedIn, -units);
        calls.add(batch, pending.quota, pending.countedIn, null, -units);
        pending.countedIn = null;
    }

    /**
     * Decides when the counter says nothing: plans whose excess costs nothing fail open, others
     * live on the counter's last word or on an even share.
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
        // it is unreported, or was added without an answer: as if it had been read
        if (within && metered && settings.present()) {
            pending.countedIn = quota.current();
            quota.spend(quota.current(), request.units);
        }
        if (within || quota.failsOpen()) {
            verdicts.admit(batch, pending);
        } else {
            verdicts.reject(batch, pending, request.units / plan.quotaPerMs);
        }
        return within;
    }

    /** The true units are known: the difference goes with the tenant's next call. */
    void settle(PendingRequest pending, double settledUnits) {
        if (pending.countedIn != null) {
            pending.quota.addUnreported(settledUnits - pending.request.units);
        }
        pending.countedIn = null;
    }
}
