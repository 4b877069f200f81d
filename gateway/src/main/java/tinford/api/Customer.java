package tinford.api;

/**
 * Whose quota a req draws on. Its reqs come through {@code width} gateways in a row from number
 * {@code first}.
 */
public final class Customer {
    public final long id;
    public final Plan plan;
    public final int width;
    public final int first;

    /**
     * Of the configuration that says its plan; where a later one says another plan, the customer
     * moves to that. 0 without a configuration.
     */
    public final long revision;

    public Customer(long id, Plan plan, int width, int first) {
        this(id, plan, width, first, 0);
    }

    public Customer(long id, Plan plan, int width, int first, long revision) {
        this.id = id;
        this.plan = plan;
        this.width = width;
        this.first = first;
        this.revision = revision;
    }
}
