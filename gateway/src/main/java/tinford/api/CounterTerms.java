package tinford.api;

/**
 * The quota counter: whether there is one, when a call is given up, the units of the largest req,
 * late settling.
 */
public final class CounterTerms {
    public final boolean present;
    public final double timeout;
    public final double largest;
    public final boolean settles;

    public CounterTerms(boolean present, double timeout, double largest, boolean settles) {
        this.present = present;
        this.timeout = timeout;
        this.largest = largest;
        this.settles = settles;
    }
}
