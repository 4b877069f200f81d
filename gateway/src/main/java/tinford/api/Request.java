package tinford.api;

/** One request of a client; whoever receives it may add what it needs by extending it. */
public class Request {
    public final long id;
    public final RequestClass requestClass;
    public final Tenant tenant;
    public final double deadlineMs;
    public final double units;
    public final boolean markedAsRetry;

    private DecisionState decisionState;

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

    /** What the decision module keeps of it, or null. */
    public final DecisionState decisionState() {
        return decisionState;
    }

    /** Called by the decision module only. */
    public final void attach(DecisionState state) {
        decisionState = state;
    }

    /**
     * Whether its client has gone, as far as can be seen at this moment; {@link
     * GatewayEvents#clientDisconnected} then follows.
     */
    public boolean clientGone() {
        return false;
    }
}
