package tinford.decision;

import tinford.api.AttemptOutcome;
import tinford.api.FleetPolicy;
import tinford.api.Request;
import tinford.api.Server;
import tinford.api.Tenant;

/** A policy that applies every kind of restriction and records its notifications as lines. */
final class TranscriptPolicy extends FleetPolicy {
    /** Receives the lines. */
    interface LineRecorder {
        /** Records a line, formatted as by {@link String#format}. */
        void line(String format, Object... values);
    }

    private final LineRecorder recorder;

    TranscriptPolicy(LineRecorder recorder) {
        this.recorder = recorder;
    }

    @Override
    public double admittedShare(double weight) {
        return weight < 2 ? 0.7 : 1;
    }

    @Override
    public double retryAllowance(double ownBudget) {
        return ownBudget * 0.6;
    }

    @Override
    public boolean ownsProbing(Server server) {
        return server.cell() % 2 == 0;
    }

    @Override
    public int connectionLimit(Server server) {
        return 3;
    }

    @Override
    public int tenantAttemptLimit(Tenant tenant) {
        return 4;
    }

    @Override
    public boolean allowsServer(Request request, Server server, Server earlierServer) {
        return request.id % 7 != 0 || server.cell() != 1;
    }

    @Override
    public boolean isRoutable(Request request) {
        return request.id % 31 != 0;
    }

    @Override
    public double retryAfterJitterMs() {
        return 80;
    }

    @Override
    public void requestOffered(Request request, double weight) {
        recorder.line("offered %d %s", request.id, weight);
    }

    @Override
    public void requestRejected(Request request, double weight) {
        recorder.line("not sent %d %s", request.id, weight);
    }

    @Override
    public void attemptSent(Request request, Server server, double weight, boolean retry) {
        recorder.line("sent %d %s %s %s", request.id, server.id, weight, retry);
    }

    @Override
    public void attemptEnded(Request request, Server server, AttemptOutcome outcome, boolean late) {
        recorder.line("ended %d %s %d %s", request.id, server.id, outcome.ordinal(), late);
    }

    @Override
    public void requestBlocked(Request request) {
        recorder.line("blocked %d", request.id);
    }

    @Override
    public void serverHealthChanged(Server server, boolean unhealthy) {
        recorder.line("health %s %s", server.id, unhealthy);
    }
}
