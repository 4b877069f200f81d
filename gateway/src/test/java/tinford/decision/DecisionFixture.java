package tinford.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import tinford.api.AttemptLimits;
import tinford.api.AttemptOutcome;
import tinford.api.CounterSettings;
import tinford.api.DeduplicationScope;
import tinford.api.GatewayActions;
import tinford.api.GatewayEvents;
import tinford.api.GatewayIdentity;
import tinford.api.Idempotency;
import tinford.api.Objectives;
import tinford.api.Plan;
import tinford.api.Request;
import tinford.api.RequestClass;
import tinford.api.Server;
import tinford.api.SlowStartRules;
import tinford.api.Tenant;

/**
 * A decision engine whose actions are recorded as text, one line per action with its kind and
 * arguments. Time passes only when a test advances it.
 */
public final class DecisionFixture implements GatewayActions {
    static final String ATTEMPT = "attempt ";
    static final String REJECT = "reject ";
    static final String FAIL = "fail ";
    static final String SET_TIMER = "set-timer";
    static final String CLOSE_IDLE = "close-idle";
    static final String WATCH = "watch ";

    /** A fail-closed plan: units beyond the quota earn no weight and cost their full weight. */
    static final Plan FAIL_CLOSED_PLAN = plan(0, 1, 0, 0);

    /** A fail-open plan: units beyond the quota earn some weight and have no cost. */
    static final Plan FAIL_OPEN_PLAN = plan(0.2, 0, 0, 0);

    /** A plan with a quota that the tests do not exhaust. */
    static final Plan LARGE_PLAN = new Plan("p", 1, 1000, 0, 1, 1, 0, 0, 0, 0);

    static final RequestClass READ = requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);

    /** Timer of the engine's periodic work, and the interval at which the fixture fires it. */
    private static final int PERIODIC_TIMER = 1;

    private static final double TIMER_INTERVAL_MS = 50;

    private static final String INCREMENT = "increment ";
    private static final String[] THREE_SERVERS = {"s1", "s2", "s3"};

    /** The actions of the last batch. */
    final List<String> actions = new ArrayList<>();

    double nowMs = 100_000;

    /** Arguments of the last attempt. */
    double lastTimeoutMs;

    double lastSendWithinMs;

    private final Map<String, Server> servers = new HashMap<>();
    private final DecisionEngine engine;
    private long nextRequestId;

    /** A call to the shared counter. */
    record CounterIncrement(long counterKey, double amount) {
        /** Whether the call only reads the total. */
        boolean isRead() {
            return amount == 0;
        }

        private static CounterIncrement parse(String action) {
            String[] words = action.split(" ");
            return new CounterIncrement(Long.parseLong(words[1]), Double.parseDouble(words[2]));
        }
    }

    DecisionFixture(AttemptLimits limits, boolean counterPresent, boolean watchRequired) {
        this(limits, counterPresent, watchRequired, 2);
    }

    DecisionFixture(
            AttemptLimits limits, boolean counterPresent, boolean watchRequired, int gatewayCount) {
        engine =
                new DecisionEngine(
                        7,
                        new GatewayIdentity(0, gatewayCount, "a", 1),
                        limits,
                        new SlowStartRules(0.3, 10_000, 2, 1000),
                        new CounterSettings(counterPresent, 50, 6, true),
                        new Objectives(0.7, 0.3),
                        watchRequired);
        handle(GatewayEvents::started);
    }

    /** A gateway of two, with a shared counter and three servers. */
    DecisionFixture() {
        this(limits(false), true, false);
        setEndpointList(THREE_SERVERS);
    }

    /** A gateway of two without a shared counter, with three servers. */
    static DecisionFixture withoutCounter() {
        DecisionFixture fixture = new DecisionFixture(limits(false), false, false);
        fixture.setEndpointList(THREE_SERVERS);
        return fixture;
    }

    static AttemptLimits limits(boolean hedgingAllowed) {
        return new AttemptLimits(3, hedgingAllowed, true, true, true, 1000);
    }

    /**
     * A plan with a quota of 2 units per second and a burst of 10 units.
     *
     * @param hardLimitPerS hard rate limit in units per second, or 0; its bucket holds 5 s of it
     */
    static Plan plan(
            double overQuotaWeight,
            double overQuotaCost,
            int maxOpenRequests,
            double hardLimitPerS) {
        return new Plan(
                "p",
                0.002,
                10,
                maxOpenRequests,
                1,
                overQuotaWeight,
                overQuotaCost,
                hardLimitPerS / 1000,
                5 * hardLimitPerS,
                1);
    }

    /**
     * A class with a latency objective of 2 s, a timeout of 8 s and a deduplication window of 3 s.
     */
    static RequestClass requestClass(Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass("f", 2000, 8000, 1, 0, idempotency, scope, 3000, false);
    }

    /** A tenant of the plan with a fan-in of two gateways. */
    static Tenant tenant(Plan plan) {
        return new Tenant(5, plan, 2, 0);
    }

    /** Handles a batch of events and returns its actions. */
    List<String> handle(Consumer<GatewayEvents> events) {
        actions.clear();
        engine.handleBatch(nowMs, events::accept, this);
        return new ArrayList<>(actions);
    }

    /** Advances the time, firing the engine's periodic timer. */
    List<String> advance(double durationMs) {
        List<String> all = new ArrayList<>();
        double endMs = nowMs + durationMs;
        while (nowMs < endMs) {
            nowMs = Math.min(endMs, nowMs + TIMER_INTERVAL_MS);
            all.addAll(handle(events -> events.timerFired(PERIODIC_TIMER)));
        }
        return all;
    }

    /** Makes these servers the full endpoint list. */
    void setEndpointList(String... ids) {
        List<Server> entries = new ArrayList<>();
        for (String id : ids) {
            entries.add(server(id));
        }
        handle(events -> events.endpointsUpdated(entries, true));
    }

    /**
     * Returns the server with this id. Ids that start with "z" are in zone "b", others in zone "a";
     * ids that start with "s1" are in cell 1, others in cell 2.
     */
    Server server(String id) {
        return servers.computeIfAbsent(id, DecisionFixture::newServer);
    }

    private static Server newServer(String id) {
        Server server = new Server(id);
        String zone = id.startsWith("z") ? "b" : "a";
        int cell = id.startsWith("s1") ? 1 : 2;
        server.updateAttributes(zone, cell, "", 0);
        server.updateState(Server.State.UP);
        return server;
    }

    /** Returns a new request that has not arrived yet. */
    Request request(Tenant tenant, RequestClass requestClass, double units) {
        double deadlineMs = nowMs + requestClass.timeoutMs;
        return new Request(nextRequestId++, requestClass, tenant, deadlineMs, units, false);
    }

    /** Lets a request arrive and returns the actions; calls to the counter stay unanswered. */
    List<String> arrive(Request request) {
        return handle(events -> events.requestArrived(request));
    }

    /**
     * Lets a request arrive and answers its calls to the counter.
     *
     * @param previousTotal total of the previous window
     * @param currentTotal total of the current window
     * @return the actions of all batches
     */
    List<String> arrive(Request request, double previousTotal, double currentTotal) {
        List<String> all = arrive(request);
        List<String> batch = all;
        while (!increments(batch).isEmpty()) {
            batch = answerCounter(batch, previousTotal, currentTotal);
            all.addAll(batch);
        }
        return all;
    }

    /**
     * Answers the calls to the counter among the actions; reads get the previous window's total.
     */
    List<String> answerCounter(List<String> calls, double previousTotal, double currentTotal) {
        List<CounterIncrement> increments = increments(calls);
        return handle(
                events -> {
                    for (CounterIncrement call : increments) {
                        events.counterAnswered(
                                call.counterKey(),
                                AttemptOutcome.SUCCESS,
                                1,
                                call.isRead() ? previousTotal : currentTotal);
                    }
                });
    }

    /** Ends the last batch's calls to the counter without a total. */
    List<String> failCounterCalls(AttemptOutcome outcome) {
        List<CounterIncrement> increments = increments(actions);
        return handle(
                events -> {
                    for (CounterIncrement call : increments) {
                        events.counterAnswered(call.counterKey(), outcome, 50, 0);
                    }
                });
    }

    /** Ends an attempt after 100 ms. */
    List<String> endAttempt(
            Request request, int attempt, AttemptOutcome outcome, boolean requestEnded) {
        return endAttempt(request, attempt, outcome, 100, requestEnded);
    }

    List<String> endAttempt(
            Request request,
            int attempt,
            AttemptOutcome outcome,
            double tookMs,
            boolean requestEnded) {
        return handle(
                events ->
                        events.attemptEnded(
                                request, attempt, outcome, tookMs, requestEnded, 0, 0, null));
    }

    /** Ends a request with the success of its first attempt after 100 ms. */
    void succeed(Request request) {
        endAttempt(request, 0, AttemptOutcome.SUCCESS, true);
    }

    /** Ends a request with the success of its first attempt. */
    void succeed(Request request, double tookMs) {
        endAttempt(request, 0, AttemptOutcome.SUCCESS, tookMs, true);
    }

    /** Returns the number of tenants, servers and counter calls that the engine tracks. */
    int trackedEntries() {
        return engine.trackedEntries();
    }

    /** Returns the number of plans that the engine tracks. */
    int trackedPlans() {
        return engine.trackedPlans();
    }

    static long count(List<String> actions, String kind) {
        return actions.stream().filter(action -> action.startsWith(kind)).count();
    }

    /** Returns the number of attempts among the actions. */
    static long attempts(List<String> actions) {
        return count(actions, ATTEMPT);
    }

    /** Returns the number of rejections among the actions. */
    static long rejections(List<String> actions) {
        return count(actions, REJECT);
    }

    /** Returns the servers of the attempts among the actions, in order. */
    static List<String> attemptedServers(List<String> actions) {
        return actions.stream()
                .filter(action -> action.startsWith(ATTEMPT))
                .map(action -> action.split(" ")[2])
                .toList();
    }

    /** Returns the calls to the counter among the actions, in order. */
    static List<CounterIncrement> increments(List<String> actions) {
        return actions.stream()
                .filter(action -> action.startsWith(INCREMENT))
                .map(CounterIncrement::parse)
                .toList();
    }

    /** Returns whether a call to the counter returns this number of units. */
    static boolean returnsUnits(List<String> actions, double units) {
        return increments(actions).stream().anyMatch(call -> call.amount() == -units);
    }

    @Override
    public void sendAttempt(Request request, Server server, double timeoutMs, double sendWithinMs) {
        lastTimeoutMs = timeoutMs;
        lastSendWithinMs = sendWithinMs;
        actions.add(ATTEMPT + request.id + " " + server.id);
    }

    @Override
    public void cancelAttempt(Request request, int attempt) {
        actions.add("cancel " + request.id + " " + attempt);
    }

    @Override
    public void reject(Request request, double retryAfterMs) {
        actions.add(REJECT + request.id + " " + Math.round(retryAfterMs));
    }

    @Override
    public void fail(Request request) {
        actions.add(FAIL + request.id);
    }

    @Override
    public void setTimer(long token, double delayMs) {
        actions.add(SET_TIMER);
    }

    @Override
    public void sendHealthCheck(Server server) {
        actions.add("health-check");
    }

    @Override
    public void closeIdleConnections(Server server) {
        actions.add(CLOSE_IDLE);
    }

    @Override
    public void sendGossip(int peer, String text) {
        actions.add("gossip " + peer + " " + text);
    }

    @Override
    public void incrementCounter(long counterKey, double amount, double ttlMs) {
        actions.add(INCREMENT + counterKey + " " + amount);
    }

    @Override
    public void watchEndpoints(boolean enabled) {
        actions.add(WATCH + enabled);
    }

    @Override
    public void fetchEndpoints() {
        actions.add("fetch-endpoints");
    }

    @Override
    public void log(String text) {
        actions.add("log");
    }
}
