package tinford.api;

import java.util.List;
import java.util.Set;

/** Receives the events that can reach a gateway, one call each. */
public interface GatewayEvents {
    /** The gateway has started. This is its first event, and a chance to set timers. */
    void started();

    /** The fleet's policy is in force from now on; a gateway starts without a fleet. */
    default void fleetPolicyChanged(FleetPolicy policy) {}

    /** Tenants have only these plans from now on; state of other plans may be dropped. */
    default void plansChanged(Set<Plan> plans) {}

    /** This process takes over the requests that another process of the gateway received so far. */
    void takeoverStarted();

    /**
     * Another process of the gateway accepts the client connections from now on; this one completes
     * the requests on the connections that it has.
     */
    void drainingStarted();

    /**
     * The endpoint list has changed. The servers are already up to date.
     *
     * @param entries the servers that the update names
     * @param complete whether servers that are not among the entries have been removed
     */
    void endpointsUpdated(List<Server> entries, boolean complete);

    /** A call to service discovery has failed, or its subscription has ended. */
    void discoveryFailed();

    /** A request has arrived; it is to get exactly one final answer. */
    void requestArrived(Request request);

    /**
     * The response of a streamed request has begun to reach the client.
     *
     * @param attempt number of the attempt that it comes from
     */
    void responseStarted(Request request, int attempt);

    /**
     * An attempt has ended.
     *
     * @param attempt number of the attempt
     * @param tookMs time in ms since the attempt was sent
     * @param requestEnded whether the client has its final answer
     * @param meteredUse 1 + the tenant's metered use in percent of its quota, or 0 if unknown
     * @param settledUnits actual units of the request, reported with its first successful response,
     *     or 0
     * @param loadReport the server's load report, or null
     */
    void attemptEnded(
            Request request,
            int attempt,
            AttemptOutcome outcome,
            double tookMs,
            boolean requestEnded,
            int meteredUse,
            double settledUnits,
            double[] loadReport);

    /** The client has disconnected before its final answer. */
    void clientDisconnected(Request request);

    /** A timer has fired that {@link GatewayActions#setTimer} set. */
    void timerFired(long token);

    /**
     * A health check has ended.
     *
     * @param tookMs time in ms since it was sent
     * @param loadReport the server's load report, or null
     */
    default void healthCheckEnded(
            Server server, AttemptOutcome outcome, double tookMs, double[] loadReport) {}

    /**
     * A gossip message has arrived.
     *
     * @param peer number of the gateway that sent it
     */
    default void gossipReceived(int peer, String text) {}

    /**
     * A call to the shared counter has ended. The calls with one key end in the order in which they
     * were made.
     *
     * @param tookMs time in ms since the call
     * @param total total in units after the call; meaningful only with {@link
     *     AttemptOutcome#SUCCESS}
     */
    void counterAnswered(long counterKey, AttemptOutcome outcome, double tookMs, double total);

    /**
     * The shared counter has answered a call that was reported before as {@link
     * AttemptOutcome#TIMED_OUT}.
     *
     * @param total total in units after the call
     */
    void counterAnsweredLate(long counterKey, double total);
}
