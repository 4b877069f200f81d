package tinford.fleet.overload;

/** What one gateway knows about a server that it or its peers found unhealthy. */
final class ProbedServer {
    /** How much later than the own finding a report of recovery must be, at first. */
    static final double MIN_DISTRUST_MS = 250;

    private static final double NEVER = Double.NEGATIVE_INFINITY;

    final int serverHash;

    /** As found by this gateway itself. */
    boolean unhealthy;

    /** As reported by the peers. */
    boolean reportedUnhealthy;

    double ownFindingAtMs = NEVER;
    double ownerReportedUnhealthyAtMs = NEVER;
    double ownerReportAtMs = NEVER;

    /** When a peer last reported that the server has recovered. */
    double reportedHealthyAtMs = NEVER;

    /** From when on this gateway uses a server that was reported healthy. */
    double returnAtMs;

    /** Doubles with each report of recovery that proves wrong. */
    double distrustMs = MIN_DISTRUST_MS;

    double updatedAtMs;

    /** The wait for the next probe, in intervals whose length changes. */
    double waitStartedAtMs;

    double waitedIntervals;
    double intervalsToWait;

    /** The owner, and the update in which it was computed. */
    int owner;

    long ownerComputedInUpdate = -1;

    ProbedServer(int serverHash) {
        this.serverHash = serverHash;
    }

    boolean isProbeDue() {
        return waitedIntervals >= intervalsToWait;
    }

    /** Begins the wait for the next probe. */
    void startWait(double sinceMs, double intervals) {
        waitStartedAtMs = sinceMs;
        waitedIntervals = 0;
        intervalsToWait = intervals;
    }
}
