package tinford.api;

/** Where this gateway stands among its like. */
public final class GatewayIdentity {
    public final int number;
    public final int gatewayCount;
    public final String zone;
    public final double tickMs;

    public GatewayIdentity(int number, int gatewayCount, String zone, double tickMs) {
        this.number = number;
        this.gatewayCount = gatewayCount;
        this.zone = zone;
        this.tickMs = tickMs;
    }
}
