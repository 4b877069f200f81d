package tinford.api;

/**
 * A plan: the quota of each of its customers over all gateways together. Rates are units a
 * millisecond; 0 is none.
 */
public final class Plan {
    public final String name;
    public final double quotaPerMs;
    public final double burst;
    public final int maxOpenRequests;
    public final double priorityWeight;
    public final double overQuotaWeight;
    public final double overQuotaCost;
    public final double hardLimitPerMs;
    public final double hardLimitBurst;
    public final double hardLimitSlack;

    public Plan(
            String name,
            double quotaPerMs,
            double burst,
            int maxOpenRequests,
            double priorityWeight,
            double overQuotaWeight,
            double overQuotaCost,
            double hardLimitPerMs,
            double hardLimitBurst,
            double hardLimitSlack) {
        this.name = name;
        this.quotaPerMs = quotaPerMs;
        this.burst = burst;
        this.maxOpenRequests = maxOpenRequests;
        this.priorityWeight = priorityWeight;
        this.overQuotaWeight = overQuotaWeight;
        this.overQuotaCost = overQuotaCost;
        this.hardLimitPerMs = hardLimitPerMs;
        this.hardLimitBurst = hardLimitBurst;
        this.hardLimitSlack = hardLimitSlack;
    }
}
