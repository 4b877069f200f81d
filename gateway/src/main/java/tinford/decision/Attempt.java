package tinford.decision;

import tinford.api.AttemptOutcome;

/** One attempt of a request at one server. */
final class Attempt {
    final PendingRequest pending;
    final ServerStats server;
    final double sentAtMs;

    /** Expected latency of the request, as a multiple of that of a request of mean size. */
    final double relativeSize;

    /** Outcome of the attempt, or null while it is in flight. */
    AttemptOutcome outcome;

    /**
     * Whether the attempt exceeded the latency objective and has been counted as a failure of its
     * server.
     */
    boolean countedLate;

    /**
     * Whether the attempt has been in flight for far longer than responses currently take, and no
     * longer occupies a slot of the gateway.
     */
    boolean stalled;

    /** Whether the streamed response has started. */
    boolean responseStarted;

    Attempt(PendingRequest pending, ServerStats server, double sentAtMs, double relativeSize) {
        this.pending = pending;
        this.server = server;
        this.sentAtMs = sentAtMs;
        this.relativeSize = relativeSize;
    }

    /** Returns the time in flight, relative to the latency objective of the request class. */
    double relativeLatency(double nowMs) {
        return (nowMs - sentAtMs) / pending.request.requestClass.latencyObjectiveMs;
    }

    boolean mayHaveRun() {
        return outcome == null || outcome.mayHaveRun;
    }
}
