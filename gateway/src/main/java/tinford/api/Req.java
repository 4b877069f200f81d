package tinford.api;

/** One client try; a front may add what it needs by extending it. */
public class Req {
    public final long id;
    public final Frontend frontend;
    public final Customer customer;
    public final double expires;
    public final double units;
    public final boolean resent;

    /** The decisions' own notes. */
    public Object notes;

    public Req(
            long id,
            Frontend frontend,
            Customer customer,
            double expires,
            double units,
            boolean resent) {
        this.id = id;
        this.frontend = frontend;
        this.customer = customer;
        this.expires = expires;
        this.units = units;
        this.resent = resent;
    }

    /**
     * Whether its client has gone, as far as can be seen at this moment; {@link Inbox#left} then
     * follows.
     */
    public boolean gone() {
        return false;
    }
}
