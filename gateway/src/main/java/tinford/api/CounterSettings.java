package tinford.api;

/**
 * The quota counter: whether there is one, when a call is given up, the units of the largest req,
 * late settling.
 */
public final class CounterSettings {
    public final boolean present;
    public final double timeoutMs;
    public final double maxRequestUnits;
    public final boolean postPaid;

    public CounterSettings(
            boolean present, double timeoutMs, double maxRequestUnits, boolean postPaid) {
        this.present = present;
        this.timeoutMs = timeoutMs;
        this.maxRequestUnits = maxRequestUnits;
        this.postPaid = postPaid;
    }
}
