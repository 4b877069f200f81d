package tinford.routing.upstream;

import tinford.api.AttemptOutcome;

/** Notified when a streamed response starts, and when an attempt ends. */
public interface AttemptListener {
    /**
     * A streamed response starts to be forwarded to the client. It is the final answer to the
     * request, and the attempt's timeout no longer applies.
     */
    void responseStarted(ServerAttempt attempt);

    /**
     * An attempt has ended. If this is called more than once for an attempt, only the first call
     * has an effect.
     *
     * @param meteredUse 1 + the tenant's metered use in percent of its quota, or 0 if unknown
     * @param settledUnits actual units of the request, reported with its first successful response,
     *     or 0
     * @param loadReport the server's load report, or null
     */
    void attemptEnded(
            ServerAttempt attempt,
            AttemptOutcome outcome,
            int meteredUse,
            double settledUnits,
            double[] loadReport);
}
