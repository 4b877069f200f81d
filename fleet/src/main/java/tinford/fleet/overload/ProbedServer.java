package tinford.fleet.overload;

/** What this gateway knows about a server that it or a peer found unhealthy. */
final class ProbedServer {
    /**
     * The initial delay after this gateway's own observation before which reports of recovery are
     * ignored.
     */
    static final double MIN_RECOVERY_DELAY_MS = 250;

    private static final double NEVER = Double.NEGATIVE_INFINITY;

    final int serverHash;

    /** By this gateway's own last observation. */
    boolean unhealthy;

    /** By the reports of the peers. */
    boolean reportedUnhealthy;

    double ownObservationAtMs = NEVER;
    double ownerReportedUnhealthyAtMs = NEVER;
    double ownerReportAtMs = NEVER;

    /** Time of the latest observation of a peer that the server had recovered. */
    double reportedHealthyAtMs = NEVER;

    /** When this gateway resumes using a server that was reported healthy. */
    double returnAtMs;

    /** Doubles with each report of recovery that proves false. */
    double recoveryDelayMs = MIN_RECOVERY_DELAY_MS;

    double updatedAtMs;

    /** The wait for the next probe is measured in probe intervals, as their length changes. */
    double waitStartedAtMs;

    double waitedIntervals;
    double intervalsToWait;

    /** The gateway that owns the probes, as computed in the update below. */
    int owner;

    long ownerComputedInUpdate = -1;

    ProbedServer(int serverHash) {
        this.serverHash = serverHash;
    }

    boolean isProbeDue() {
        return waitedIntervals >= intervalsToWait;
    }

    /** Starts the wait for the next probe. */
    void startWait(double sinceMs, double intervals) {
        waitStartedAtMs = sinceMs;
        waitedIntervals = 0;
        intervalsToWait = intervals;
    }
}
