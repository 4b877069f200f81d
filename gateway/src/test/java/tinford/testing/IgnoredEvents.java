package tinford.testing;

import java.util.List;
import tinford.api.AttemptOutcome;
import tinford.api.GatewayEvents;
import tinford.api.Request;
import tinford.api.Server;

/** Ignores all events; tests override the methods of the events that they observe. */
public class IgnoredEvents implements GatewayEvents {
    @Override
    public void started() {}

    @Override
    public void takeoverStarted() {}

    @Override
    public void drainingStarted() {}

    @Override
    public void endpointsUpdated(List<Server> entries, boolean complete) {}

    @Override
    public void discoveryFailed() {}

    @Override
    public void requestArrived(Request request) {}

    @Override
    public void responseStarted(Request request, int attempt) {}

    @Override
    public void attemptEnded(
            Request request,
            int attempt,
            AttemptOutcome outcome,
            double tookMs,
            boolean requestEnded,
            int meteredUse,
            double settledUnits,
            double[] loadReport) {}

    @Override
    public void clientDisconnected(Request request) {}

    @Override
    public void timerFired(long token) {}

    @Override
    public void counterAnswered(
            long counterKey, AttemptOutcome outcome, double tookMs, double total) {}

    @Override
    public void counterAnsweredLate(long counterKey, double total) {}
}
