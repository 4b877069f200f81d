package tinford.api;

/** A client's request; the I/O layer may extend the class with its own state. */
public class Request {
    /** Identifier of the request, unique within a gateway. */
    public final long id;

    /** Class of the request. */
    public final RequestClass requestClass;

    /** Tenant that the request counts against. */
    public final Tenant tenant;

    /** Time in ms at which the client stops waiting for a response. */
    public final double deadlineMs;

    /**
     * Units that the request uses of the quota; an estimate if the actual units are settled later.
     */
    public final double units;

    /** Whether the client marked the request as a retry of its own. */
    public final boolean markedAsRetry;

    private DecisionState decisionState;

    /** Creates a request; the parameters are described with the fields of the same names. */
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

    /** Returns the state that the decision module keeps for this request, or null. */
    public final DecisionState decisionState() {
        return decisionState;
    }

    /** Attaches the decision module's state; called only by that module. */
    public final void attach(DecisionState state) {
        decisionState = state;
    }

    /**
     * Returns whether the client is known to have disconnected; {@link
     * GatewayEvents#clientDisconnected} then follows.
     */
    public boolean clientGone() {
        return false;
    }
}
