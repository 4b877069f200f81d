package tinford.decision;

import tinford.api.AttemptOutcome;

/** One attempt of a request at one server. */
final class Attempt {
    final PendingRequest pending;
    final ServerStats server;
    final double sentAtMs;

    /** What the request takes compared with one of mean size. */
    final double relativeSize;

    /** Null while it runs. */
    AttemptOutcome outcome;

    /** It ran past the latency objective and has been counted as a failure of its server. */
    boolean countedLate;

    /**
     * It has run far longer than answers take now, and occupies no slot of the gateway any more.
     */
    boolean stalled;

    /** Its streamed response has started. */
    boolean responseStarted;

    Attempt(PendingRequest pending, ServerStats server, double sentAtMs, double relativeSize) {
        this.pending = pending;
        this.server = server;
        this.sentAtMs = sentAtMs;
        this.relativeSize = relativeSize;
    }

    /** How long it has run, relative to the class's objective. */
    double relativeLatency(double nowMs) {
        return (nowMs - sentAtMs) / pending.request.requestClass.latencyObjectiveMs;
    }

    boolean mayHaveRun() {
        return outcome == null || outcome.mayHaveRun;
    }
}
