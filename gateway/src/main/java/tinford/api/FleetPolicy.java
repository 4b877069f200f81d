package tinford.api;

/**
 * Limits that a fleet of gateways has agreed on, as queried by the decision module of one gateway,
 * and callbacks for the events that this gateway reports to the fleet. The defaults are the policy
 * of a gateway without a fleet: nothing is limited and events are ignored. All calls are made on
 * the I/O thread, while a batch is handled.
 */
public class FleetPolicy {
    /**
     * Returns the share of the offered units that is currently admitted, from 0 to 1.
     *
     * @param weight priority weight of the units
     */
    public double admittedShare(double weight) {
        return 1;
    }

    /**
     * Returns the number of retries that this gateway may send now.
     *
     * @param ownBudget retries that the gateway's own retry budget allows
     */
    public double retryAllowance(double ownBudget) {
        return ownBudget;
    }

    /** Returns whether this gateway sends the health checks to an ejected server. */
    public boolean ownsProbing(Server server) {
        return true;
    }

    /** Returns the connections that this gateway may hold to the server, idle ones included. */
    public int connectionLimit(Server server) {
        return Integer.MAX_VALUE;
    }

    /** Returns the attempts that a tenant may have in flight through this gateway. */
    public int tenantAttemptLimit(Tenant tenant) {
        return Integer.MAX_VALUE;
    }

    /**
     * Returns whether the request may be sent to the server now.
     *
     * @param earlierServer server at which an earlier attempt of the request may have run, or null
     */
    public boolean allowsServer(Request request, Server server, Server earlierServer) {
        return true;
    }

    /** Returns whether the request may be sent to any server now. */
    public boolean isRoutable(Request request) {
        return true;
    }

    /**
     * Returns the upper bound, in ms, of the random time that is added to a Retry-After, so that
     * requests rejected together do not return together.
     */
    public double retryAfterJitterMs() {
        return 0;
    }

    /**
     * Called when a request within its quota has arrived.
     *
     * @param weight priority weight of each of its units
     */
    public void requestOffered(Request request, double weight) {}

    /**
     * Called when an offered request ends without any attempt: shed, rejected, or abandoned by its
     * client.
     *
     * @param weight priority weight of each of its units
     */
    public void requestRejected(Request request, double weight) {}

    /**
     * Called when an attempt is sent.
     *
     * @param weight priority weight of each unit of the request
     * @param retry whether an earlier attempt of the request was sent before
     */
    public void attemptSent(Request request, Server server, double weight, boolean retry) {}

    /**
     * Called when an attempt has ended.
     *
     * @param late whether it ended after the latency objective of its request class
     */
    public void attemptEnded(
            Request request, Server server, AttemptOutcome outcome, boolean late) {}

    /**
     * Called when a request could not be sent because no connection, or no attempt within its
     * tenant's limit, was available.
     */
    public void requestBlocked(Request request) {}

    /** Called when a connection to the server is opened. */
    public void connectionOpened(Server server) {}

    /** Called when a connection to the server is closed. */
    public void connectionClosed(Server server) {}

    /**
     * Called when a server was ejected or has recovered.
     *
     * @param unhealthy true when it was ejected
     */
    public void serverHealthChanged(Server server, boolean unhealthy) {}
}
