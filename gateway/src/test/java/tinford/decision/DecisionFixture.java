package tinford.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import tinford.api.*;

/** A gateway with its decisions written down as text, one line each; time moves only when told. */
public final class DecisionFixture implements GatewayActions {
    /** Hears everything and does nothing. */
    public static class Deaf implements GatewayEvents {
        @Override
        public void started() {}

        @Override
        public void takeoverStarted() {}

        @Override
        public void drainingStarted() {}

        @Override
        public void endpointsUpdated(List<Server> entries, boolean whole) {}

        @Override
        public void discoveryFailed() {}

        @Override
        public void requestArrived(Request req) {}

        @Override
        public void responseStarted(Request req, int hop) {}

        @Override
        public void attemptEnded(
                Request req,
                int hop,
                AttemptOutcome how,
                double took,
                boolean closed,
                int seenUse,
                double settled,
                double[] load) {}

        @Override
        public void clientDisconnected(Request req) {}

        @Override
        public void timerFired(long token) {}

        @Override
        public void healthCheckEnded(Server srv, AttemptOutcome how, double took, double[] load) {}

        @Override
        public void gossipReceived(int peer, String text) {}

        @Override
        public void counterAnswered(long name, AttemptOutcome how, double took, double total) {}

        @Override
        public void counterAnsweredLate(long name, double total) {}
    }

    static final SlowStartRules RULES = new SlowStartRules(0.3, 10_000, 2, 1000);
    final List<String> said = new ArrayList<>();
    final Map<String, Server> servers = new HashMap<>();
    final DecisionEngine gateway;
    double now = 100_000;
    double cap;
    double within;
    private long ids;

    DecisionFixture(AttemptLimits limits, boolean counter, boolean mustAsk) {
        this(limits, counter, mustAsk, 2);
    }

    DecisionFixture(AttemptLimits limits, boolean counter, boolean mustAsk, int gateways) {
        gateway =
                new DecisionEngine(
                        7,
                        new GatewayIdentity(0, gateways, "a", 1),
                        limits,
                        RULES,
                        new CounterSettings(counter, 50, 6, true),
                        new Objectives(0.7, 0.3),
                        mustAsk);
        play(GatewayEvents::started);
    }

    DecisionFixture() {
        this(limits(false), true, false);
        list("s1", "s2", "s3");
    }

    static AttemptLimits limits(boolean duplicate) {
        return new AttemptLimits(3, duplicate, true, true, true, 1000);
    }

    static Plan plan(double beyondValue, double beyondCost, int maxOut, double ceiling) {
        return new Plan(
                "p", 0.002, 10, maxOut, 1, beyondValue, beyondCost, ceiling / 1000, 5 * ceiling, 1);
    }

    static RequestClass frontend(Idempotency effect, DeduplicationScope group) {
        return new RequestClass("f", 2000, 8000, 1, 0, effect, group, 3000, false);
    }

    static Tenant customer(Plan plan) {
        return new Tenant(5, plan, 2, 0);
    }

    List<String> play(Consumer<GatewayEvents> input) {
        said.clear();
        gateway.handleBatch(now, input::accept, this);
        return said;
    }

    /** Lets time pass with the gateway's timer running. */
    List<String> pass(double ms) {
        List<String> all = new ArrayList<>();
        for (double end = now + ms; now < end; ) {
            now = Math.min(end, now + 50);
            all.addAll(play(in -> in.timerFired(1)));
        }
        return all;
    }

    void list(String... ids) {
        List<Server> entries = new ArrayList<>();
        for (String id : ids) entries.add(srv(id));
        play(in -> in.endpointsUpdated(entries, true));
    }

    Server srv(String id) {
        return servers.computeIfAbsent(
                id,
                k -> {
                    Server s = new Server(k);
                    s.updateAttributes(
                            k.startsWith("z") ? "b" : "a", k.startsWith("s1") ? 1 : 2, "", 0);
                    s.updateState(Server.State.UP);
                    return s;
                });
    }

    Request req(Tenant c, RequestClass f, double units) {
        return new Request(ids++, f, c, now + f.timeoutMs, units, false);
    }

    /**
     * Brings a req and answers its calls to the counter with the given totals: of the window
     * before, of this one.
     */
    List<String> ask(Request req, double before, double total) {
        List<String> all = new ArrayList<>(play(in -> in.requestArrived(req)));
        for (List<String> calls = all; count(calls, "add ") > 0; all.addAll(calls))
            calls = answers(calls, before, total);
        return all;
    }

    /**
     * Answers calls with totals; taking back and reading the window before are told by the amount.
     */
    List<String> answers(List<String> calls, double before, double total) {
        List<String> asked = new ArrayList<>(calls);
        return new ArrayList<>(
                play(
                        in -> {
                            for (String s : asked) {
                                if (!s.startsWith("add ")) continue;
                                String[] w = s.split(" ");
                                boolean reads = Double.parseDouble(w[2]) == 0;
                                in.counterAnswered(
                                        Long.parseLong(w[1]),
                                        AttemptOutcome.SUCCESS,
                                        1,
                                        reads ? before : total);
                            }
                        }));
    }

    /** Ends each call of the last round on the counter this way. */
    List<String> counterEnds(AttemptOutcome how) {
        List<String> asked = new ArrayList<>(said);
        return play(
                in -> {
                    for (String s : asked) {
                        if (s.startsWith("add "))
                            in.counterAnswered(Long.parseLong(s.split(" ")[1]), how, 50, 0);
                    }
                });
    }

    List<String> ends(Request req, int hop, AttemptOutcome how, boolean closed) {
        return play(in -> in.attemptEnded(req, hop, how, 100, closed, 0, 0, null));
    }

    /** How many customers, servers and calls the gateway keeps notes of. */
    int kept() {
        return gateway.trackedEntries();
    }

    /** How many plans the gateway keeps notes of. */
    int plansKept() {
        return gateway.trackedPlans();
    }

    static long count(List<String> said, String start) {
        return said.stream().filter(s -> s.startsWith(start)).count();
    }

    @Override
    public void sendAttempt(Request req, Server srv, double cap, double within) {
        this.cap = cap;
        this.within = within;
        said.add("dispatch " + req.id + " " + srv.id);
    }

    @Override
    public void cancelAttempt(Request req, int hop) {
        said.add("cancel " + req.id + " " + hop);
    }

    @Override
    public void reject(Request req, double retryAfter) {
        said.add("deny " + req.id + " " + Math.round(retryAfter));
    }

    @Override
    public void fail(Request req) {
        said.add("abort " + req.id);
    }

    @Override
    public void setTimer(long token, double wait) {
        said.add("alarm");
    }

    @Override
    public void sendHealthCheck(Server srv) {
        said.add("probe");
    }

    @Override
    public void closeIdleConnections(Server srv) {
        said.add("close");
    }

    @Override
    public void sendGossip(int peer, String text) {
        said.add("tell " + peer + " " + text);
    }

    @Override
    public void incrementCounter(long name, double amount, double keep) {
        said.add("add " + name + " " + amount);
    }

    @Override
    public void watchEndpoints(boolean on) {
        said.add("watch " + on);
    }

    @Override
    public void fetchEndpoints() {
        said.add("fetch");
    }

    @Override
    public void log(String text) {
        said.add("log");
    }
}
