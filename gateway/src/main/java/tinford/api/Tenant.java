package tinford.api;

/**
 * Whose quota a req draws on. Its reqs come through {@code width} gateways in a row from number
 * {@code first}.
 */
public final class Tenant {
    public final long id;
    public final Plan plan;
    public final int fanIn;
    public final int firstGateway;

    /**
     * Of the configuration that says its plan; where a later one says another plan, the customer
     * moves to that. 0 without a configuration.
     */
    public final long revision;

    public Tenant(long id, Plan plan, int fanIn, int firstGateway) {
        this(id, plan, fanIn, firstGateway, 0);
    }

    public Tenant(long id, Plan plan, int fanIn, int firstGateway, long revision) {
        this.id = id;
        this.plan = plan;
        this.fanIn = fanIn;
        this.firstGateway = firstGateway;
        this.revision = revision;
    }
}
