package tinford.fleet.config;

/**
 * The quota of each tenant on this plan, over all gateways together.
 *
 * @param ratePerSecond units a second; 0 for no rate
 * @param burst units that may be used at once; above 0 where there is a rate
 * @param maxOpen requests a tenant may have open; 0 for no bound
 * @param price what a unit within the quota earns
 * @param beyondValue what a unit beyond the quota earns
 * @param beyondCost what a unit beyond the quota costs
 * @param ceilingPerSecond units a second that may never be exceeded; 0 for no ceiling
 * @param ceilingBurst units of the ceiling that may be used at once; above 0 where there is one
 * @param ceilingSlack units by which the ceiling may be missed
 */
public record PlanRecord(
        String name,
        double ratePerSecond,
        double burst,
        int maxOpen,
        double price,
        double beyondValue,
        double beyondCost,
        double ceilingPerSecond,
        double ceilingBurst,
        double ceilingSlack) {}
