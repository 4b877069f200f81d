package tinford.api;

/** The figures of the rules on cold servers. */
public final class Rules {
    public final double coldFrom;
    public final double coldTime;
    public final double fallMultiple;
    public final double fallTime;

    public Rules(double coldFrom, double coldTime, double fallMultiple, double fallTime) {
        this.coldFrom = coldFrom;
        this.coldTime = coldTime;
        this.fallMultiple = fallMultiple;
        this.fallTime = fallTime;
    }
}
