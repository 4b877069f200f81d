package tinford.decision;

import tinford.api.Plan;

/**
 * This gateway's even share of a tenant's quota, for when the counter says nothing. It is full at
 * first. Where shares are smaller than a request it holds one mean request, or no gateway would
 * ever admit any.
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
     * @param share this gateway's part of the tenant's quota
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
