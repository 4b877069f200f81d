package tinford.decision;

import java.util.Random;
import tinford.api.Plan;
import tinford.api.Tenant;

/**
 * This gateway's state of a tenant's quota: a sliding window estimate over two counter windows, a
 * bound within the current window, and the per-gateway shares that apply without the counter.
 */
final class TenantQuota {
    /**
     * Maximum window length; two windows fit into the minute for which the counter keeps a total.
     */
    static final double MAX_WINDOW_MS = 29_000;

    /**
     * Window length as a multiple of the time in which the burst refills. One burst beyond the
     * quota is possible at each window boundary.
     */
    private static final double BURST_REFILLS_PER_WINDOW = 6;

    private static final double MIN_RETRY_AFTER_MS = 1;
    private static final double ROUNDING_UNITS = 1e-6;
    private static final double EPSILON = 1e-9;

    /** Maximum fan-in at which a gateway may use the units that were free at the last read. */
    private static final double MAX_FAN_IN_FOR_FRESH_READS = 4;

    /** Factor on the gap between calls for tenants whose decisions hardly depend on the total. */
    private static final double RELAXED_GAP_FACTOR = 4;

    /** Factor on the gap between calls for tenants whose quota is unknown or nearly used up. */
    private static final double URGENT_GAP_FACTOR = 0.5;

    private final PlanFairness fairness;
    private final HardLimitBucket hardLimit;
    private final LocalBucket localBucket;
    private final BurstHeadroom headroom = new BurstHeadroom();
    private Tenant tenant;
    private Plan plan;
    private PlanUsage usage;
    private double gatewayShare;
    private double windowMs;
    private CounterWindow current;
    private CounterWindow previous;
    private double unreportedUnits;
    private double lastRequestMs = Double.NEGATIVE_INFINITY;
    private int openAttempts;
    private int openRequests;

    TenantQuota(
            Tenant tenant,
            PlanFairness fairness,
            RequestSizeModel sizes,
            GatewayLifecycle lifecycle,
            double nowMs) {
        this.fairness = fairness;
        this.hardLimit = new HardLimitBucket(lifecycle);
        this.localBucket =
                new LocalBucket(sizes, tenant.plan, 1.0 / Math.max(1, tenant.fanIn), nowMs);
        configure(tenant);
    }

    private void configure(Tenant changed) {
        tenant = changed;
        plan = changed.plan;
        usage = fairness.usageOf(plan);
        gatewayShare = 1.0 / Math.max(1, changed.fanIn);
        hardLimit.configure(plan, gatewayShare);
        localBucket.configure(plan, gatewayShare);
        windowMs =
                plan.quotaPerMs <= 0
                        ? MAX_WINDOW_MS
                        : Math.min(
                                MAX_WINDOW_MS,
                                BURST_REFILLS_PER_WINDOW * plan.burst / plan.quotaPerMs);
    }

    Tenant tenant() {
        return tenant;
    }

    Plan plan() {
        return plan;
    }

    PlanUsage usage() {
        return usage;
    }

    CounterWindow current() {
        return current;
    }

    CounterWindow previous() {
        return previous;
    }

    double windowMs() {
        return windowMs;
    }

    /** Records the time of a request of the tenant. */
    void recordRequest(double nowMs) {
        lastRequestMs = nowMs;
    }

    /**
     * Changes to the plan of a later configuration revision. Usage under the old plan is carried
     * over into the new plan's total, up to the units that the new plan allows by now. The unused
     * burst is carried over as well, so that the change does not grant a new burst at each gateway.
     */
    void changePlan(Tenant changed, double nowMs) {
        if (changed.revision <= tenant.revision || changed.plan == plan) {
            return;
        }
        rollWindows(nowMs);
        double oldBurst = plan.burst;
        double spent = oldBurst - headroom.refill(plan, 0, nowMs);
        double used =
                previous.slidingTotal(elapsedInWindowMs(nowMs) / windowMs)
                        + current.total
                        - unreportedUnits;
        CounterWindow oldWindow = current;
        configure(changed);
        rollWindows(nowMs);
        // windows of different lengths have different keys on the counter
        if (current != oldWindow) {
            double allowed = plan.burst + plan.quotaPerMs * elapsedInWindowMs(nowMs);
            current.offsetUnits = Math.max(0, Math.min(used, allowed));
            current.carriedOverUnits = current.offsetUnits * gatewayShare;
            current.total = current.offsetUnits + unreportedUnits;
        }
        headroom.set(Math.max(0, Math.min(oldBurst, plan.burst) - spent), nowMs);
    }

    /** Makes the window that contains the time the current one. */
    void rollWindows(double nowMs) {
        long index = (long) Math.floor(nowMs / windowMs);
        if (current != null && current.index == index) {
            return;
        }
        boolean follows = current != null && current.index == index - 1;
        previous = follows ? current : new CounterWindow(index - 1);
        current = new CounterWindow(index);
        if (!follows) {
            headroom.set(plan.burst, index * windowMs);
        }
    }

    private double elapsedInWindowMs(double nowMs) {
        return Math.min(windowMs, nowMs - current.index * windowMs);
    }

    /** Returns the maximum number of units that a window admits. */
    private double windowCapacity() {
        return plan.quotaPerMs * windowMs + plan.burst;
    }

    /** Returns whether a total of the current window is within the quota. */
    boolean isWithinQuota(double total, double nowMs) {
        double elapsedMs = elapsedInWindowMs(nowMs);
        return previous.slidingTotal(elapsedMs / windowMs) + total <= windowCapacity()
                && total <= plan.burst + plan.quotaPerMs * elapsedMs
                && total - current.total <= headroom.refill(plan, 0, nowMs) + ROUNDING_UNITS;
    }

    /**
     * Returns whether a recent total shows that the units exceed the quota.
     *
     * @param maxAgeMs maximum age of the total in ms
     */
    boolean isKnownExhausted(double units, double maxAgeMs, double nowMs) {
        return current.wasRead
                && nowMs - current.readAtMs < maxAgeMs
                && !isWithinQuota(current.total + units, nowMs);
    }

    /** Returns whether the previous window could cause a rejection, assuming that it was full. */
    boolean previousWindowMatters(double nowMs) {
        return current.total > windowCapacity() * Math.min(1, nowMs / windowMs - current.index);
    }

    /** Returns the time until the units are within the quota if nothing else is used meanwhile. */
    double timeUntilAvailableMs(double units, double nowMs) {
        double elapsedMs = nowMs - current.index * windowMs;
        double total = current.total + units;
        double waitMs =
                Math.max(
                        (total - plan.burst) / plan.quotaPerMs - elapsedMs,
                        (units - headroom.refill(plan, 0, nowMs)) / plan.quotaPerMs);
        if (previous.total > 0) {
            double slidingWaitMs = windowMs * (1 - (windowCapacity() - total) / previous.total);
            waitMs = Math.max(waitMs, slidingWaitMs - elapsedMs);
        }
        return Math.max(MIN_RETRY_AFTER_MS, waitMs);
    }

    /**
     * Returns whether requests are admitted without a total from the counter: usage beyond the
     * quota earns weight under this plan and has no cost.
     */
    boolean failsOpen() {
        return plan.overQuotaWeight > 0 && plan.overQuotaCost <= 0;
    }

    /**
     * Returns whether the last total is recent enough to decide by. It never is with a large
     * fan-in, where each gateway would use all the units that were free.
     */
    private boolean isLastTotalFresh(double nowMs) {
        return MAX_FAN_IN_FOR_FRESH_READS * gatewayShare >= 1
                && current.wasRead
                && nowMs - current.readAtMs < plan.burst / plan.quotaPerMs;
    }

    /**
     * Returns a factor on the gap between calls, which directs the limited calls to tenants whose
     * quota is unknown or nearly used up. A fail-open tenant's requests are admitted with or
     * without a total.
     */
    double callGapFactor(double nowMs) {
        boolean relaxed =
                failsOpen()
                        || isLastTotalFresh(nowMs)
                                && isWithinQuota(current.total + plan.burst / 2, nowMs);
        return relaxed ? RELAXED_GAP_FACTOR : URGENT_GAP_FACTOR;
    }

    /**
     * Takes units without the counter and returns whether they were available. With a recent total,
     * the other gateways are assumed to have used their shares of the units that became free since;
     * otherwise the per-gateway share decides. A request larger than the remaining share is
     * admitted with a proportional probability, so that all gateways together admit the sum of
     * their shares.
     */
    boolean takeWithoutCounter(double units, Random random, double nowMs) {
        boolean fresh = isLastTotalFresh(nowMs);
        boolean taken =
                fresh
                        ? isWithinQuota(current.total + units, nowMs)
                                && units <= availableUnits(nowMs)
                        : localBucket.level(nowMs) >= units * random.nextDouble();
        if (taken || !fresh) {
            localBucket.charge(units, nowMs);
        }
        return taken;
    }

    private double availableUnits(double nowMs) {
        return headroom.unitsAtLastRead()
                + gatewayShare * plan.quotaPerMs * (nowMs - current.readAtMs);
    }

    /**
     * Charges units that the counter has admitted to the per-gateway share, so that its level is
     * correct when the counter becomes unresponsive.
     */
    void chargeLocalBucket(double units, double nowMs) {
        localBucket.charge(units, nowMs);
    }

    /** Adds units that are not in the last read total, or returns units if negative. */
    void addUsage(CounterWindow window, double units) {
        window.total += units;
        headroom.spend(units);
    }

    /**
     * Applies a total that was read.
     *
     * @param units units of the request whose call read the total, or 0
     */
    void updateTotal(CounterWindow window, double total, double units, double nowMs) {
        if (window == current || window.wasRead) {
            headroom.applyRead(plan, total - window.total - units, units, nowMs);
        }
        window.total = total;
        window.wasRead = true;
        window.readAtMs = nowMs;
        headroom.markRead();
    }

    double unreportedUnits() {
        return unreportedUnits;
    }

    /**
     * Adds units to the unreported usage, which the next call reports; negative to return units.
     */
    void addUnreported(double units) {
        unreportedUnits += units;
    }

    double takeUnreported() {
        double taken = unreportedUnits;
        unreportedUnits = 0;
        return taken;
    }

    void requestOpened() {
        openRequests++;
    }

    void requestCompleted() {
        openRequests--;
    }

    void attemptStarted() {
        openAttempts++;
    }

    void attemptEnded() {
        openAttempts--;
    }

    int openAttempts() {
        return openAttempts;
    }

    void takeFromHardLimit(double units) {
        hardLimit.take(units);
    }

    double hardLimitWaitMs(double units, double nowMs) {
        return hardLimit.waitMs(units, nowMs);
    }

    /** Returns whether hard rate limit and limit on open requests allow a first attempt. */
    boolean allowsNewRequest(double units, double nowMs) {
        return hardLimit.waitMs(units, nowMs) <= 0
                && (plan.maxOpenRequests <= 0 || openAttempts + 0.5 < openRequestShare());
    }

    /**
     * Returns this gateway's share of the limit on open requests, in proportion to its share of the
     * usage on the counter; initially the limit is divided evenly.
     */
    private double openRequestShare() {
        double own =
                current.ownUsage()
                        + previous.ownUsage()
                        + current.carriedOverUnits
                        + previous.carriedOverUnits;
        double all = current.total + previous.total;
        double part = (own + plan.burst * gatewayShare) / (all + plan.burst + EPSILON);
        return Math.max(1, plan.maxOpenRequests * Math.min(1, part));
    }

    /**
     * Returns whether this state can be dropped where memory is short: nothing of the tenant is
     * open, and a new state would not allow more than its hard limit.
     */
    boolean mayEvictEarly(double nowMs) {
        return openAttempts == 0 && openRequests == 0 && hardLimit.isFull(nowMs);
    }

    /** Returns whether this state no longer affects any decision and can be dropped. */
    boolean isEvictable(double nowMs) {
        return nowMs - lastRequestMs > 2 * MAX_WINDOW_MS
                && openAttempts == 0
                && hardLimit.isFull(nowMs);
    }
}
