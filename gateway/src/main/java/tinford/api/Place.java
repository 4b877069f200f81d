package tinford.api;

/** Where this gateway stands among its like. */
public final class Place {
    public final int number;
    public final int gateways;
    public final String zone;
    public final double tick;

    public Place(int number, int gateways, String zone, double tick) {
        this.number = number;
        this.gateways = gateways;
        this.zone = zone;
        this.tick = tick;
    }
}
