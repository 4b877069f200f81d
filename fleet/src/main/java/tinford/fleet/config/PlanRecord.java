package tinford.fleet.config;

/**
 * The quota of each tenant on this plan, over all gateways together.
 *
 * @param quotaPerSecond units a second; 0 for no rate
 * @param burst units that may be used at once; above 0 where there is a rate
 * @param maxOpenRequests requests a tenant may have open; 0 for no bound
 * @param priorityWeight what a unit within the quota earns
 * @param overQuotaWeight what a unit beyond the quota earns
 * @param overQuotaCost what a unit beyond the quota costs
 * @param hardLimitPerSecond units a second that may never be exceeded; 0 for no ceiling
 * @param hardLimitBurst units of the ceiling that may be used at once; above 0 where there is one
 * @param hardLimitSlack units by which the ceiling may be missed
 */
public record PlanRecord(
        String name,
        double quotaPerSecond,
        double burst,
        int maxOpenRequests,
        double priorityWeight,
        double overQuotaWeight,
        double overQuotaCost,
        double hardLimitPerSecond,
        double hardLimitBurst,
        double hardLimitSlack) {}
