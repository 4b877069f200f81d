package tinford.decision;

import tinford.api.Plan;

/**
 * The per-gateway share of a tenant's quota, used while the counter gives no totals: a token bucket
 * that starts full. It holds at least one request of mean size; with a smaller size no gateway
 * would ever admit one.
 */
final class LocalBucket {
    private final RequestSizeModel sizes;
    private double level;
    private double updatedAtMs;
    private Plan plan;
    private double share;

    LocalBucket(RequestSizeModel sizes, Plan plan, double share, double nowMs) {
        this.sizes = sizes;
        configure(plan, share);
        this.level = size();
        this.updatedAtMs = nowMs;
    }

    /**
     * @param share share of the tenant's quota that this gateway has
     */
    void configure(Plan plan, double share) {
        this.plan = plan;
        this.share = share;
    }

    double level(double nowMs) {
        level = Math.min(size(), level + (nowMs - updatedAtMs) * plan.quotaPerMs * share);
        updatedAtMs = nowMs;
        return level;
    }

    void charge(double units, double nowMs) {
        level = Math.max(0, level(nowMs) - units);
    }

    private double size() {
        return Math.max(plan.burst * share, sizes.meanUnits());
    }
}
