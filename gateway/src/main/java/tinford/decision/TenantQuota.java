package tinford.decision;

import java.util.Random;
import tinford.api.Plan;
import tinford.api.Tenant;

/**
 * A tenant's quota as this gateway knows it: a sliding estimate over two windows on the shared
 * counter, a bound within the window, and this gateway's shares for when the counter says nothing.
 */
final class TenantQuota {
    /** Longest window: two of them fit the minute for which the counter keeps a total. */
    static final double MAX_WINDOW_MS = 29_000;

    /**
     * Length of a window in times in which the burst fills: a burst may go beyond the quota at each
     * edge.
     */
    private static final double BURST_TIMES_PER_WINDOW = 6;

    private static final double MIN_RETRY_AFTER_MS = 1;
    private static final double ROUNDING_UNITS = 1e-6;
    private static final double AVOID_ZERO = 1e-9;

    /** Gateways of a tenant among which one may use what was free at the last read. */
    private static final double MAX_FAN_IN_FOR_FRESH_READS = 4;

    /** Factors on the gap between calls to the counter. */
    private static final double RELAXED_GAP = 4;

    private static final double URGENT_GAP = 0.5;

    private final PlanFairness fairness;
    private final HardLimitBucket hardLimit;
    private final LocalBucket localBucket;
    private final BurstHeadroom headroom = new BurstHeadroom();
    private Tenant tenant;
    private Plan plan;
    private PlanUsage usage;
    private double share;
    private double windowMs;
    private CounterWindow current;
    private CounterWindow previous;
    private double unreportedUnits;
    private double lastRequestMs = Double.NEGATIVE_INFINITY;
    private int openAttempts;

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
        follow(tenant);
    }

    private void follow(Tenant changed) {
        tenant = changed;
        plan = changed.plan;
        usage = fairness.usageOf(plan);
        share = 1.0 / Math.max(1, changed.fanIn);
        hardLimit.configure(plan, share);
        localBucket.configure(plan, share);
        windowMs =
                plan.quotaPerMs <= 0
                        ? MAX_WINDOW_MS
                        : Math.min(
                                MAX_WINDOW_MS,
                                BURST_TIMES_PER_WINDOW * plan.burst / plan.quotaPerMs);
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

    /** The tenant sends a request. */
    void touch(double nowMs) {
        lastRequestMs = nowMs;
    }

    /**
     * Moves to the plan of a later revision of the configuration. What was used stays as a floor
     * under the new plan's total, up to all that the new plan allows by now, and opens no burst at
     * each gateway.
     */
    void moveTo(Tenant changed, double nowMs) {
        if (changed.revision <= tenant.revision || changed.plan == plan) {
            return;
        }
        roll(nowMs);
        double oldBurst = plan.burst;
        double spent = oldBurst - headroom.refill(plan, 0, nowMs);
        double used =
                previous.slidingTotal(intoWindowMs(nowMs) / windowMs)
                        + current.total
                        - unreportedUnits;
        CounterWindow oldWindow = current;
        follow(changed);
        roll(nowMs);
        // a window of another length has another key on the counter
        if (current != oldWindow) {
            double allowed = plan.burst + plan.quotaPerMs * intoWindowMs(nowMs);
            current.lostUnits = Math.max(0, Math.min(used, allowed));
            current.migratedUnits = current.lostUnits * share;
            current.total = current.lostUnits + unreportedUnits;
        }
        headroom.set(Math.max(0, Math.min(oldBurst, plan.burst) - spent), nowMs);
    }

    /** Opens the window that the time lies in. */
    void roll(double nowMs) {
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

    private double intoWindowMs(double nowMs) {
        return Math.min(windowMs, nowMs - current.index * windowMs);
    }

    /** Most units that a window may hold. */
    private double windowCapacity() {
        return plan.quotaPerMs * windowMs + plan.burst;
    }

    /** Whether a current total is within the quota. */
    boolean fits(double total, double nowMs) {
        double intoMs = intoWindowMs(nowMs);
        return previous.slidingTotal(intoMs / windowMs) + total <= windowCapacity()
                && total <= plan.burst + plan.quotaPerMs * intoMs
                && total - current.total <= headroom.refill(plan, 0, nowMs) + ROUNDING_UNITS;
    }

    /** Whether so many more units are known not to fit, by a total read so recently. */
    boolean isKnownExhausted(double units, double maxAgeMs, double nowMs) {
        return current.wasRead
                && nowMs - current.readAtMs < maxAgeMs
                && !fits(current.total + units, nowMs);
    }

    /** Whether the window before could deny anything now, if it had admitted all that it may. */
    boolean previousWindowMatters(double nowMs) {
        return current.total > windowCapacity() * Math.min(1, nowMs / windowMs - current.index);
    }

    /** How long until so many units will fit, if nobody else asks. */
    double fitsInMs(double units, double nowMs) {
        double intoMs = nowMs - current.index * windowMs;
        double total = current.total + units;
        double waitMs =
                Math.max(
                        (total - plan.burst) / plan.quotaPerMs - intoMs,
                        (units - headroom.refill(plan, 0, nowMs)) / plan.quotaPerMs);
        if (previous.total > 0) {
            double slidesInMs = windowMs * (1 - (windowCapacity() - total) / previous.total);
            waitMs = Math.max(waitMs, slidesInMs - intoMs);
        }
        return Math.max(MIN_RETRY_AFTER_MS, waitMs);
    }

    /**
     * What is beyond the quota earns something and costs nothing: it is admitted while the counter
     * is silent.
     */
    boolean failsOpen() {
        return plan.overQuotaWeight > 0 && plan.overQuotaCost <= 0;
    }

    /**
     * Whether the last total may be relied on; of many gateways each would use all that was free.
     */
    private boolean isFresh(double nowMs) {
        return MAX_FAN_IN_FOR_FRESH_READS * share >= 1
                && current.wasRead
                && nowMs - current.readAtMs < plan.burst / plan.quotaPerMs;
    }

    /**
     * Factor on the gap between calls where these are short: those tell most whose quota is unknown
     * or nearly used up, and none where requests are admitted either way.
     */
    double callGapFactor(double nowMs) {
        boolean relaxed =
                failsOpen() || isFresh(nowMs) && fits(current.total + plan.burst / 2, nowMs);
        return relaxed ? RELAXED_GAP : URGENT_GAP;
    }

    /**
     * Takes units without the counter: after a recent total as if the others had used their shares
     * of what has come free since, else from the own share. A share smaller than the request is
     * drawn for by chance, so that over all gateways the shares admit what they hold.
     */
    boolean takeWithoutCounter(double units, Random random, double nowMs) {
        boolean fresh = isFresh(nowMs);
        boolean taken =
                fresh
                        ? fits(current.total + units, nowMs) && units <= freeSinceRead(nowMs)
                        : localBucket.level(nowMs) >= units * random.nextDouble();
        if (taken || !fresh) {
            localBucket.charge(units, nowMs);
        }
        return taken;
    }

    private double freeSinceRead(double nowMs) {
        return headroom.unitsAtLastRead() + share * plan.quotaPerMs * (nowMs - current.readAtMs);
    }

    /**
     * The own share tells what is left of it when the counter falls silent: counted units come off
     * it as well.
     */
    void chargeLocalBucket(double units, double nowMs) {
        localBucket.charge(units, nowMs);
    }

    /** Counts units that are not on the counter yet, or takes them back. */
    void spend(CounterWindow window, double units) {
        window.total += units;
        headroom.spend(units);
    }

    /**
     * Takes in a total.
     *
     * @param units of the request whose call read it, or 0
     */
    void updateTotal(CounterWindow window, double total, double units, double nowMs) {
        if (window == current || window.wasRead) {
            headroom.read(plan, total - window.total - units, units, nowMs);
        }
        window.total = total;
        window.wasRead = true;
        window.readAtMs = nowMs;
        headroom.markRead();
    }

    double unreportedUnits() {
        return unreportedUnits;
    }

    /** Units that the next call adds; below 0 where it takes units back. */
    void addUnreported(double units) {
        unreportedUnits += units;
    }

    double takeUnreported() {
        double taken = unreportedUnits;
        unreportedUnits = 0;
        return taken;
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

    /** Hard rate limit and limit on open requests, for a first attempt. */
    boolean mayOpen(double units, double nowMs) {
        return hardLimit.waitMs(units, nowMs) <= 0
                && (plan.maxOpenRequests <= 0 || openAttempts + 0.5 < openRequestShare());
    }

    /** The limit on open requests is divided by the use that the counter shows, evenly at first. */
    private double openRequestShare() {
        double own =
                current.ownUse()
                        + previous.ownUse()
                        + current.migratedUnits
                        + previous.migratedUnits;
        double all = current.total + previous.total;
        double part = (own + plan.burst * share) / (all + plan.burst + AVOID_ZERO);
        return Math.max(1, plan.maxOpenRequests * Math.min(1, part));
    }

    /** Whether nothing that is kept here matters any more. */
    boolean isForgettable(double nowMs) {
        return nowMs - lastRequestMs > 2 * MAX_WINDOW_MS
                && openAttempts == 0
                && hardLimit.isFull(nowMs);
    }
}
