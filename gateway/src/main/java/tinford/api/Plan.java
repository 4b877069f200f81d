package tinford.api;

/**
 * The limits of each tenant of a plan, summed over all gateways. Plans are compared by identity, so
 * two plans with equal values are distinct map keys.
 */
public final class Plan {
    /** Name of the plan. */
    public final String name;

    /** Quota in units per ms, or 0 without a quota. */
    public final double quotaPerMs;

    /** Units that may be used at once on top of the steady quota. */
    public final double burst;

    /**
     * Requests that a tenant may have in flight before a further one counts as beyond the quota, or
     * 0 without a limit.
     */
    public final int maxOpenRequests;

    /** Priority weight of a unit within the quota. */
    public final double priorityWeight;

    /** Fraction of its priority weight that a unit earns when it is forwarded beyond the quota. */
    public final double overQuotaWeight;

    /** Fraction of its priority weight that a unit costs when it is forwarded beyond the quota. */
    public final double overQuotaCost;

    /** Hard rate limit in units per ms, or 0 without one. */
    public final double hardLimitPerMs;

    /** Size of the hard rate limit's token bucket in units. */
    public final double hardLimitBurst;

    /** Units by which that token bucket may fall below 0. */
    public final double hardLimitSlack;

    /** Creates a plan; the parameters are described with the fields of the same names. */
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
