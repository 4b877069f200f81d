package tinford.lab.overload;

import tinford.api.Request;

/** One attempt of a client, through one gateway. */
final class SimulatedRequest {
    final Request request;
    final double worth;

    /** How often its client has come back before. */
    final int round;

    /** Whether it was first asked for while servers were lost. */
    final boolean counts;

    final double askedAt;
    boolean isFurther;
    int dispatches;

    SimulatedRequest(Request request, double worth, int round, boolean counts, double askedAt) {
        this.request = request;
        this.worth = worth;
        this.round = round;
        this.counts = counts;
        this.askedAt = askedAt;
    }

    double totalWorth() {
        return worth * request.units;
    }

    /** The same, as its client asks again. */
    SimulatedRequest again(double now) {
        return new SimulatedRequest(request, worth, round + 1, counts, now);
    }
}
