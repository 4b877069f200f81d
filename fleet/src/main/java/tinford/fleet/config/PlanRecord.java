package tinford.fleet.config;

/**
 * A plan: the quota of each of its tenants, over all gateways together.
 *
 * @param quotaPerSecond units per second; 0 for no quota
 * @param burst units of the quota that may be used at once; above 0 if there is a quota
 * @param maxOpenRequests number of requests that a tenant may have open at a time; 0 for no limit
 * @param priorityWeight weight of a unit within the quota
 * @param overQuotaWeight weight of a unit beyond the quota
 * @param overQuotaCost cost of a unit beyond the quota
 * @param hardLimitPerSecond units per second that may never be exceeded; 0 for no hard limit
 * @param hardLimitBurst units of the hard limit that may be used at once; above 0 if there is a
 *     hard limit
 * @param hardLimitSlack units by which the hard limit may be exceeded
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
