package tinford.routing.upstream;

import tinford.api.AttemptOutcome;

/** Notified when an attempt's response starts to flow, and when the attempt ends. */
public interface AttemptListener {
    /**
     * A streamed response begins to flow to its client: this is the request's final answer, and no
     * time limit applies to it any more.
     */
    void responseStarted(ServerAttempt attempt);

    /**
     * An attempt has ended; of several calls for one attempt the first one counts.
     *
     * @param meteredUse 1 + the tenant's metered use in percent of its rate, or 0
     * @param settledUnits true units, reported with the first successful response, or 0
     * @param loadReport the server's load report, or null
     */
    void attemptEnded(
            ServerAttempt attempt,
            AttemptOutcome outcome,
            int meteredUse,
            double settledUnits,
            double[] loadReport);
}
