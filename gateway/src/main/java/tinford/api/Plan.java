package tinford.api;

/**
 * A plan: the quota of each of its customers over all gateways together. Rates are units a
 * millisecond; 0 is none.
 */
public final class Plan {
    public final String name;
    public final double rate;
    public final double burst;
    public final int maxOut;
    public final double price;
    public final double beyondValue;
    public final double beyondCost;
    public final double ceilingRate;
    public final double ceilingBurst;
    public final double ceilingSlack;

    public Plan(
            String name,
            double rate,
            double burst,
            int maxOut,
            double price,
            double beyondValue,
            double beyondCost,
            double ceilingRate,
            double ceilingBurst,
            double ceilingSlack) {
        this.name = name;
        this.rate = rate;
        this.burst = burst;
        this.maxOut = maxOut;
        this.price = price;
        this.beyondValue = beyondValue;
        this.beyondCost = beyondCost;
        this.ceilingRate = ceilingRate;
        this.ceilingBurst = ceilingBurst;
        this.ceilingSlack = ceilingSlack;
    }
}
