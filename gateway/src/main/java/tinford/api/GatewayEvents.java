package tinford.api;

import java.util.List;
import java.util.Set;

/** Receives the events of a gateway, one call per event. */
public interface GatewayEvents {
    /** The gateway has started. This is its first event; timers may be set from here on. */
    void started();

    /** The policy applies from now on; until the first call a gateway has no fleet. */
    default void fleetPolicyChanged(FleetPolicy policy) {}

    /** The complete set of plans has changed; state of any other plan may be dropped. */
    default void plansChanged(Set<Plan> plans) {}

    /** This process takes over from another process of the gateway and receives its requests. */
    void takeoverStarted();

    /**
     * Another process of the gateway accepts client connections from now on; this one completes the
     * requests on its open connections.
     */
    void drainingStarted();

    /**
     * The endpoint list has changed. The servers are already up to date.
     *
     * @param entries the servers in the update
     * @param complete whether the update is a full list, so that any other server was removed
     */
    void endpointsUpdated(List<Server> entries, boolean complete);

    /** A call to service discovery has failed, or its subscription has ended. */
    void discoveryFailed();

    /** A request has arrived; it must get exactly one final response. */
    void requestArrived(Request request);

    /**
     * The response of a streamed request has started to be forwarded to the client.
     *
     * @param attempt number of the attempt that the response belongs to
     */
    void responseStarted(Request request, int attempt);

    /**
     * An attempt has ended.
     *
     * @param attempt number of the attempt
     * @param tookMs time in ms since the attempt was sent
     * @param requestEnded whether the client has received its final response
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

    /** The client has disconnected before it received its final response. */
    void clientDisconnected(Request request);

    /** A timer that was set with {@link GatewayActions#setTimer} has fired. */
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
     * The shared counter has answered a call that was already reported as {@link
     * AttemptOutcome#TIMED_OUT}.
     *
     * @param total total in units after the call
     */
    void counterAnsweredLate(long counterKey, double total);
}
