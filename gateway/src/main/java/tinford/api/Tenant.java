package tinford.api;

/**
 * The tenant of a request. Its requests arrive at {@code fanIn} gateways with consecutive numbers,
 * starting at {@code firstGateway}; numbering wraps around from the last gateway to number 0.
 */
public final class Tenant {
    /** Identifier of the tenant. */
    public final long id;

    /** The tenant's plan. */
    public final Plan plan;

    /** Number of gateways at which the tenant's requests arrive. */
    public final int fanIn;

    /** Number of the first of these gateways. */
    public final int firstGateway;

    /**
     * Revision of the configuration that gives the tenant its plan; a later revision with another
     * plan moves the tenant to that plan. 0 if the plan comes from no configuration.
     */
    public final long revision;

    /** Creates a tenant whose plan comes from no configuration. */
    public Tenant(long id, Plan plan, int fanIn, int firstGateway) {
        this(id, plan, fanIn, firstGateway, 0);
    }

    /** Creates a tenant; the parameters are described with the fields of the same names. */
    public Tenant(long id, Plan plan, int fanIn, int firstGateway, long revision) {
        this.id = id;
        this.plan = plan;
        this.fanIn = fanIn;
        this.firstGateway = firstGateway;
        this.revision = revision;
    }
}
