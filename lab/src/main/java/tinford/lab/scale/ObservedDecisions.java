package tinford.lab.scale;

import java.util.List;
import tinford.api.AttemptLimits;
import tinford.api.AttemptOutcome;
import tinford.api.CounterSettings;
import tinford.api.DecisionModule;
import tinford.api.FleetPolicy;
import tinford.api.GatewayActions;
import tinford.api.GatewayEvents;
import tinford.api.GatewayIdentity;
import tinford.api.Objectives;
import tinford.api.Request;
import tinford.api.Server;
import tinford.api.SlowStartRules;

/**
 * Makes the decisions of every gateway of a model as they are, and lets listeners hear what passes
 * between them and their front. It changes neither.
 */
final class ObservedDecisions implements DecisionModule.Factory {
    private final DecisionModule.Factory maker;
    private final List<DecisionListener> listeners;

    ObservedDecisions(DecisionModule.Factory maker, List<DecisionListener> listeners) {
        this.maker = maker;
        this.listeners = List.copyOf(listeners);
    }

    @Override
    public DecisionModule create(
            long seed,
            GatewayIdentity place,
            AttemptLimits limits,
            SlowStartRules rules,
            CounterSettings counter,
            Objectives goal,
            boolean mustAsk) {
        DecisionModule decisions = maker.create(seed, place, limits, rules, counter, goal, mustAsk);
        return new ObservedGateway(place.number(), decisions);
    }

    private final class ObservedGateway implements DecisionModule {
        private final int number;
        private final DecisionModule decisions;

        ObservedGateway(int number, DecisionModule decisions) {
            this.number = number;
            this.decisions = decisions;
        }

        @Override
        public void handleBatch(double now, EventBatch feed, GatewayActions out) {
            GatewayActions observed = new ObservedWriter(number, now, out);
            decisions.handleBatch(
                    now, in -> feed.replay(new ObservedInbox(number, now, in)), observed);
        }
    }

    private final class ObservedInbox implements GatewayEvents {
        private final int gateway;
        private final double now;
        private final GatewayEvents in;

        ObservedInbox(int gateway, double now, GatewayEvents in) {
            this.gateway = gateway;
            this.now = now;
            this.in = in;
        }

        @Override
        public void started() {
            listeners.forEach(listener -> listener.started(gateway, now));
            in.started();
        }

        @Override
        public void fleetPolicyChanged(FleetPolicy view) {
            in.fleetPolicyChanged(view);
        }

        @Override
        public void takeoverStarted() {
            in.takeoverStarted();
        }

        @Override
        public void drainingStarted() {
            in.drainingStarted();
        }

        @Override
        public void endpointsUpdated(List<Server> entries, boolean whole) {
            in.endpointsUpdated(entries, whole);
        }

        @Override
        public void discoveryFailed() {
            in.discoveryFailed();
        }

        @Override
        public void requestArrived(Request request) {
            listeners.forEach(listener -> listener.arriving(gateway, request, now));
            in.requestArrived(request);
            listeners.forEach(listener -> listener.arrived(gateway, request, now));
        }

        @Override
        public void responseStarted(Request request, int dispatch) {
            in.responseStarted(request, dispatch);
        }

        @Override
        public void attemptEnded(
                Request request,
                int dispatch,
                AttemptOutcome how,
                double took,
                boolean closed,
                int seenUse,
                double settled,
                double[] load) {
            listeners.forEach(
                    listener -> listener.dispatchEnded(gateway, request, dispatch, how, now));
            in.attemptEnded(request, dispatch, how, took, closed, seenUse, settled, load);
        }

        @Override
        public void clientDisconnected(Request request) {
            listeners.forEach(listener -> listener.dropped(gateway, request, now));
            in.clientDisconnected(request);
        }

        @Override
        public void timerFired(long token) {
            in.timerFired(token);
        }

        @Override
        public void healthCheckEnded(
                Server server, AttemptOutcome how, double took, double[] load) {
            in.healthCheckEnded(server, how, took, load);
        }

        @Override
        public void gossipReceived(int peer, String text) {
            in.gossipReceived(peer, text);
        }

        @Override
        public void counterAnswered(long name, AttemptOutcome how, double took, double total) {
            listeners.forEach(listener -> listener.counting(gateway, name, how, total, now));
            in.counterAnswered(name, how, took, total);
            listeners.forEach(listener -> listener.counted(gateway, now));
        }

        @Override
        public void counterAnsweredLate(long name, double total) {
            in.counterAnsweredLate(name, total);
        }
    }

    private final class ObservedWriter implements GatewayActions {
        private final int gateway;
        private final double now;
        private final GatewayActions out;

        ObservedWriter(int gateway, double now, GatewayActions out) {
            this.gateway = gateway;
            this.now = now;
            this.out = out;
        }

        @Override
        public void sendAttempt(Request request, Server server, double cap, double within) {
            listeners.forEach(listener -> listener.dispatched(gateway, request, server, now));
            out.sendAttempt(request, server, cap, within);
        }

        @Override
        public void cancelAttempt(Request request, int dispatch) {
            out.cancelAttempt(request, dispatch);
        }

        @Override
        public void reject(Request request, double retryAfter) {
            listeners.forEach(listener -> listener.dropped(gateway, request, now));
            out.reject(request, retryAfter);
        }

        @Override
        public void fail(Request request) {
            listeners.forEach(listener -> listener.dropped(gateway, request, now));
            out.fail(request);
        }

        @Override
        public void setTimer(long token, double wait) {
            out.setTimer(token, wait);
        }

        @Override
        public void sendHealthCheck(Server server) {
            out.sendHealthCheck(server);
        }

        @Override
        public void closeIdleConnections(Server server) {
            out.closeIdleConnections(server);
        }

        @Override
        public void sendGossip(int peer, String text) {
            out.sendGossip(peer, text);
        }

        @Override
        public void incrementCounter(long name, double amount, double keep) {
            listeners.forEach(listener -> listener.calledCounter(gateway, name, amount, keep, now));
            out.incrementCounter(name, amount, keep);
        }

        @Override
        public void watchEndpoints(boolean on) {
            out.watchEndpoints(on);
        }

        @Override
        public void fetchEndpoints() {
            out.fetchEndpoints();
        }

        @Override
        public void log(String text) {
            out.log(text);
        }
    }
}
