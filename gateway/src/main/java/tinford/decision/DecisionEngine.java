package tinford.decision;

import java.util.List;
import java.util.Random;
import java.util.Set;
import tinford.api.AttemptLimits;
import tinford.api.AttemptOutcome;
import tinford.api.CounterSettings;
import tinford.api.DecisionModule;
import tinford.api.FleetPolicy;
import tinford.api.GatewayActions;
import tinford.api.GatewayEvents;
import tinford.api.GatewayIdentity;
import tinford.api.Objectives;
import tinford.api.Plan;
import tinford.api.Request;
import tinford.api.Server;
import tinford.api.SlowStartRules;

/**
 * The decision module of one gateway: handles the events of a batch in order and delegates each to
 * the components that decide (docs/design.md). It is independent of sockets and of the simulator
 * protocol, and deterministic: the same seed and events give the same actions.
 */
public final class DecisionEngine implements DecisionModule, GatewayEvents, QuotaDecisionHandler {
    private static final long TICK_TIMER = 1;
    private static final long WATCH_TIMER = 2;

    /** Interval at which waits for the counter and queued requests are checked. */
    private static final double TICK_MS = 50;

    private static final double WATCH_RETRY_MS = 500;
    private static final double NO_MEMORY_RETRY_AFTER_MS = 1000;
    private static final int TICKS_PER_RANKING = 4;
    private static final int TICKS_PER_CONNECTION_CHECK = 2;
    private static final int TICKS_PER_QUOTA_CLEANUP = 200;

    /**
     * Idle connections are closed while more than this many attempts per successful one lose their
     * connection.
     */
    private static final double MAX_LOST_PER_SUCCESS = 0.08;

    private final boolean watchRequired;
    private final PlanFairness fairness;
    private final GatewayLifecycle lifecycle = new GatewayLifecycle();
    private final QuotaLimiter quotas;
    private final LoadBalancer balancer;
    private final RetryBudget retries = new RetryBudget();
    private final RequestCompletion completion;
    private final AdmissionController admission;
    private final RollingSum successes = new RollingSum();
    private final RollingSum lostConnections = new RollingSum();
    private FleetPolicy policy = new FleetPolicy();
    private Batch batch;
    private long arrivals;
    private long ticks;

    public DecisionEngine(
            long seed,
            GatewayIdentity identity,
            AttemptLimits limits,
            SlowStartRules slowStartRules,
            CounterSettings counter,
            Objectives objectives,
            boolean watchRequired) {
        this.watchRequired = watchRequired;
        this.fairness = new PlanFairness(objectives);
        Random random = new Random(seed);
        RequestSizeModel sizes = new RequestSizeModel();
        SlowStart slowStart = new SlowStart(slowStartRules);
        AttemptGuard guard = new AttemptGuard(limits, slowStart, identity.tickMs());
        this.balancer = new LoadBalancer(guard, slowStart, sizes, identity.gatewayCount(), random);
        this.quotas =
                new QuotaLimiter(
                        counter, identity.gatewayCount(), this, fairness, sizes, lifecycle, random);
        AdmissionQueue queue = new AdmissionQueue();
        this.completion = new RequestCompletion(queue, quotas, random);
        AttemptSender sender = new AttemptSender(guard, balancer, retries, identity.tickMs());
        this.admission =
                new AdmissionController(
                        queue, balancer, sender, guard, retries, completion, successes, random);
    }

    @Override
    public void handleBatch(double nowMs, EventBatch events, GatewayActions actions) {
        batch = new Batch(nowMs, actions, policy);
        events.replay(this);
        admission.drainQueue(batch);
    }

    @Override
    public void started() {
        lifecycle.start(batch.nowMs);
        if (watchRequired) {
            batch.actions.watchEndpoints(true);
        }
        batch.actions.setTimer(TICK_TIMER, TICK_MS);
    }

    @Override
    public void fleetPolicyChanged(FleetPolicy changed) {
        policy = changed;
        batch = batch.withPolicy(changed);
    }

    @Override
    public void plansChanged(Set<Plan> plans) {
        fairness.retainPlans(plans);
    }

    /** New hard-limit buckets are empty as of now, as another process used the limits until now. */
    @Override
    public void takeoverStarted() {
        lifecycle.start(batch.nowMs);
    }

    @Override
    public void drainingStarted() {
        lifecycle.startDraining(batch.nowMs);
    }

    @Override
    public void discoveryFailed() {
        if (watchRequired) {
            batch.actions.setTimer(WATCH_TIMER, WATCH_RETRY_MS);
        }
    }

    @Override
    public void endpointsUpdated(List<Server> entries, boolean complete) {
        balancer.updateEndpoints(entries, complete, batch.nowMs);
        fairness.updateBoosts(batch.nowMs);
    }

    @Override
    public void timerFired(long token) {
        if (token == WATCH_TIMER) {
            batch.actions.watchEndpoints(true);
        } else if (token == TICK_TIMER) {
            batch.actions.setTimer(TICK_TIMER, TICK_MS);
            tick();
        }
    }

    private void tick() {
        double nowMs = batch.nowMs;
        quotas.expireWaits(batch);
        if (ticks++ % TICKS_PER_RANKING == 0) {
            balancer.updateRanking(nowMs);
            fairness.updateBoosts(nowMs);
        }
        if (ticks % TICKS_PER_CONNECTION_CHECK == 0 && isLosingConnections(nowMs)) {
            balancer.closeIdleConnections(batch);
        }
        if (ticks % TICKS_PER_QUOTA_CLEANUP == 0) {
            quotas.evictIdleTenants(batch);
        }
        admission.expireQueued(batch);
    }

    private boolean isLosingConnections(double nowMs) {
        return lostConnections.total(nowMs) > MAX_LOST_PER_SUCCESS * successes.total(nowMs);
    }

    @Override
    public void requestArrived(Request request) {
        double nowMs = batch.nowMs;
        TenantQuota quota = quotas.quotaOf(batch, request.tenant);
        if (quota == null) {
            batch.actions.reject(request, NO_MEMORY_RETRY_AFTER_MS);
            return;
        }
        quota.requestOpened();
        PendingRequest pending = new PendingRequest(request, quota, arrivals++, nowMs);
        pending.updateLatestSend(balancer.typicalLatencyMs(request));
        request.attach(pending);
        retries.requestArrived(pending.weight);
        // too close to the deadline to wait for the counter
        if (nowMs >= pending.latestSendMs) {
            completion.rejectOrFail(batch, pending, 0);
        } else {
            quotas.checkQuota(batch, pending);
        }
    }

    @Override
    public void responseStarted(Request request, int number) {
        PendingRequest pending = PendingRequest.of(request);
        Attempt attempt = pending.attempts.get(number);
        if (pending.responseStarted || attempt.outcome != null) {
            return;
        }
        pending.responseStarted = true;
        attempt.responseStarted = true;
        double tookMs = batch.nowMs - attempt.sentAtMs;
        balancer.finishAttempt(batch, attempt, AttemptOutcome.SUCCESS, tookMs, request.units);
        successes.add(batch.nowMs, 1);
    }

    @Override
    public void clientDisconnected(Request request) {
        PendingRequest pending = PendingRequest.of(request);
        if (pending != null) {
            completion.complete(batch, pending);
        }
    }

    @Override
    public void counterAnswered(long key, AttemptOutcome outcome, double tookMs, double total) {
        quotas.counterAnswered(batch, key, outcome, tookMs, total);
    }

    @Override
    public void counterAnsweredLate(long key, double total) {
        quotas.counterAnsweredLate(key, total, batch.nowMs);
    }

    @Override
    public void attemptEnded(
            Request request,
            int number,
            AttemptOutcome outcome,
            double tookMs,
            boolean requestEnded,
            int meteredUse,
            double settledUnits,
            double[] loadReport) {
        PendingRequest pending = PendingRequest.of(request);
        Attempt attempt = pending.attempts.get(number);
        attempt.outcome = outcome;
        pending.quota.attemptEnded();
        boolean late = batch.nowMs > pending.objectiveAtMs;
        batch.policy.attemptEnded(request, attempt.server.server, outcome, late);
        if (!attempt.responseStarted) {
            double units = settledUnits > 0 ? settledUnits : request.units;
            balancer.finishAttempt(batch, attempt, outcome, tookMs, units);
            recordOutcome(outcome);
        }
        if (outcome == AttemptOutcome.SUCCESS && settledUnits > 0) {
            quotas.settle(pending, settledUnits);
        }
        if (requestEnded) {
            completion.complete(batch, pending);
        } else if (!pending.completed && !pending.hasRunningAttempt()) {
            admission.retry(batch, pending, outcome);
        }
    }

    private void recordOutcome(AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.SUCCESS) {
            successes.add(batch.nowMs, 1);
        } else if (outcome == AttemptOutcome.CONNECTION_LOST) {
            lostConnections.add(batch.nowMs, 1);
        }
    }

    /** Returns the number of tracked tenants, counter calls and servers, which stays bounded. */
    int trackedEntries() {
        return quotas.trackedEntries() + balancer.serverCount();
    }

    int trackedPlans() {
        return fairness.planCount();
    }

    @Override
    public void admit(Batch current, PendingRequest pending) {
        admission.admit(current, pending);
    }

    @Override
    public void reject(Batch current, PendingRequest pending, double waitMs) {
        completion.rejectOrFail(current, pending, waitMs);
    }
}
