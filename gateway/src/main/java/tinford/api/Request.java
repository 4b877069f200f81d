package tinford.api;

/** One client try; a front may add what it needs by extending it. */
public class Request {
    public final long id;
    public final RequestClass requestClass;
    public final Tenant tenant;
    public final double deadlineMs;
    public final double units;
    public final boolean markedAsRetry;

    /** The decisions' own notes. */
    public Object notes;

    public Request(
            long id,
            RequestClass requestClass,
            Tenant tenant,
            double deadlineMs,
            double units,
            boolean markedAsRetry) {
        this.id = id;
        this.requestClass = requestClass;
        this.tenant = tenant;
        this.deadlineMs = deadlineMs;
        this.units = units;
        this.markedAsRetry = markedAsRetry;
    }

    /**
     * Whether its client has gone, as far as can be seen at this moment; {@link
     * GatewayEvents#clientDisconnected} then follows.
     */
    public boolean clientGone() {
        return false;
    }
}
