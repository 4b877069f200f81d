package tinford.api;

import java.util.List;
import java.util.Set;

/** All that can reach a gateway, one call each. */
public interface GatewayEvents {
    /** The first call of a gateway's life, alone in carrying no input: it may set its timers. */
    void started();

    /** From now on this is what a fleet has settled; without this call a gateway is alone. */
    default void fleetPolicyChanged(FleetPolicy policy) {}

    /** From now on customers are on these plans only; nothing has to be kept of others. */
    default void plansChanged(Set<Plan> plans) {}

    /** Another process of this gateway took its reqs so far; from now on they come here. */
    void takeoverStarted();

    /**
     * From now on another process of this gateway takes its reqs, and this one only those on
     * connections it has.
     */
    void drainingStarted();

    /**
     * Entries of the server list, already brought up to date; {@code whole} if absent servers are
     * gone.
     */
    void endpointsUpdated(List<Server> entries, boolean complete);

    /** A call on discovery failed or the subscription broke. */
    void discoveryFailed();

    void requestArrived(Request request);

    /** The answer of a streamed req has begun to flow. */
    void responseStarted(Request request, int attempt);

    /**
     * A dispatch has ended.
     *
     * @param requestEnded the req is over for the client
     * @param meteredUse 1 + the customer's metered use in percent of its rate, or 0
     * @param settledUnits true units, told with the first good answer, or 0
     * @param loadReport the server's load report or null
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

    void clientDisconnected(Request request);

    void timerFired(long token);

    default void healthCheckEnded(
            Server server, AttemptOutcome outcome, double tookMs, double[] loadReport) {}

    default void gossipReceived(int peer, String text) {}

    void counterAnswered(long counterKey, AttemptOutcome outcome, double tookMs, double total);

    /** The total of a call that was told before as one without an answer in its time. */
    void counterAnsweredLate(long counterKey, double total);
}
