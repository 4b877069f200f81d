package tinford.lab.scale;

import java.util.List;
import tinford.api.CounterTerms;
import tinford.api.End;
import tinford.api.Gateway;
import tinford.api.Goal;
import tinford.api.Inbox;
import tinford.api.Limits;
import tinford.api.Place;
import tinford.api.Req;
import tinford.api.Rules;
import tinford.api.Srv;
import tinford.api.View;
import tinford.api.Writer;

/**
 * Makes the decisions of every gateway of a model as they are, and lets listeners hear what passes
 * between them and their front. It changes neither.
 */
final class ObservedDecisions implements Gateway.Maker {
    private final Gateway.Maker maker;
    private final List<DecisionListener> listeners;

    ObservedDecisions(Gateway.Maker maker, List<DecisionListener> listeners) {
        this.maker = maker;
        this.listeners = List.copyOf(listeners);
    }

    @Override
    public Gateway make(
            long seed,
            Place place,
            Limits limits,
            Rules rules,
            CounterTerms counter,
            Goal goal,
            boolean mustAsk) {
        Gateway decisions = maker.make(seed, place, limits, rules, counter, goal, mustAsk);
        return new ObservedGateway(place.number, decisions);
    }

    private final class ObservedGateway implements Gateway {
        private final int number;
        private final Gateway decisions;

        ObservedGateway(int number, Gateway decisions) {
            this.number = number;
            this.decisions = decisions;
        }

        @Override
        public void round(double now, Feed feed, Writer out) {
            Writer observed = new ObservedWriter(number, now, out);
            decisions.round(now, in -> feed.replay(new ObservedInbox(number, now, in)), observed);
        }
    }

    private final class ObservedInbox implements Inbox {
        private final int gateway;
        private final double now;
        private final Inbox in;

        ObservedInbox(int gateway, double now, Inbox in) {
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
        public void sees(View view) {
            in.sees(view);
        }

        @Override
        public void takesOver() {
            in.takesOver();
        }

        @Override
        public void leaves() {
            in.leaves();
        }

        @Override
        public void listed(List<Srv> entries, boolean whole) {
            in.listed(entries, whole);
        }

        @Override
        public void listRefused() {
            in.listRefused();
        }

        @Override
        public void arrived(Req request) {
            listeners.forEach(listener -> listener.arriving(gateway, request, now));
            in.arrived(request);
            listeners.forEach(listener -> listener.arrived(gateway, request, now));
        }

        @Override
        public void began(Req request, int dispatch) {
            in.began(request, dispatch);
        }

        @Override
        public void ended(
                Req request,
                int dispatch,
                End how,
                double took,
                boolean closed,
                int seenUse,
                double settled,
                double[] load) {
            listeners.forEach(
                    listener -> listener.dispatchEnded(gateway, request, dispatch, how, now));
            in.ended(request, dispatch, how, took, closed, seenUse, settled, load);
        }

        @Override
        public void left(Req request) {
            listeners.forEach(listener -> listener.dropped(gateway, request, now));
            in.left(request);
        }

        @Override
        public void alarm(long token) {
            in.alarm(token);
        }

        @Override
        public void probed(Srv server, End how, double took, double[] load) {
            in.probed(server, how, took, load);
        }

        @Override
        public void heard(int peer, String text) {
            in.heard(peer, text);
        }

        @Override
        public void counted(long name, End how, double took, double total) {
            listeners.forEach(listener -> listener.counting(gateway, name, how, total, now));
            in.counted(name, how, took, total);
            listeners.forEach(listener -> listener.counted(gateway, now));
        }

        @Override
        public void countedLate(long name, double total) {
            in.countedLate(name, total);
        }
    }

    private final class ObservedWriter implements Writer {
        private final int gateway;
        private final double now;
        private final Writer out;

        ObservedWriter(int gateway, double now, Writer out) {
            this.gateway = gateway;
            this.now = now;
            this.out = out;
        }

        @Override
        public void dispatch(Req request, Srv server, double cap, double within) {
            listeners.forEach(listener -> listener.dispatched(gateway, request, server, now));
            out.dispatch(request, server, cap, within);
        }

        @Override
        public void cancel(Req request, int dispatch) {
            out.cancel(request, dispatch);
        }

        @Override
        public void deny(Req request, double retryAfter) {
            listeners.forEach(listener -> listener.dropped(gateway, request, now));
            out.deny(request, retryAfter);
        }

        @Override
        public void abort(Req request) {
            listeners.forEach(listener -> listener.dropped(gateway, request, now));
            out.abort(request);
        }

        @Override
        public void alarm(long token, double wait) {
            out.alarm(token, wait);
        }

        @Override
        public void probe(Srv server) {
            out.probe(server);
        }

        @Override
        public void closeIdle(Srv server) {
            out.closeIdle(server);
        }

        @Override
        public void tell(int peer, String text) {
            out.tell(peer, text);
        }

        @Override
        public void add(long name, double amount, double keep) {
            listeners.forEach(listener -> listener.calledCounter(gateway, name, amount, keep, now));
            out.add(name, amount, keep);
        }

        @Override
        public void watch(boolean on) {
            out.watch(on);
        }

        @Override
        public void fetchList() {
            out.fetchList();
        }

        @Override
        public void log(String text) {
            out.log(text);
        }
    }
}
