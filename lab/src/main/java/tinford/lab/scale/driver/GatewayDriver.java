package tinford.lab.scale.driver;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import tinford.api.AttemptLimits;
import tinford.api.AttemptOutcome;
import tinford.api.CounterSettings;
import tinford.api.GatewayActions;
import tinford.api.GatewayEvents;
import tinford.api.GatewayIdentity;
import tinford.api.Objectives;
import tinford.api.Request;
import tinford.api.RequestClass;
import tinford.api.Server;
import tinford.api.SlowStartRules;
import tinford.api.Tenant;
import tinford.decision.DecisionEngine;
import tinford.lab.scale.count.Cost;
import tinford.lab.scale.gateway.DrivenGateway;
import tinford.routing.dispatch.RequestDispatcher;
import tinford.routing.upstream.ServerPool;
import tinford.settings.JsonFields;

/**
 * Drives the decisions and the server table of one gateway. The counter answers each call in the
 * next round, servers after a service time with an exponential distribution.
 */
public final class GatewayDriver implements DrivenGateway, GatewayActions {
    private static final double START = 100_000;
    private static final double TICK_MS = 50;
    private static final double SERVICE_MS = 20;
    private static final double COLD_MS = 10_000;
    private static final double COUNTER_TIMEOUT_MS = 50;
    private static final double NEVER_MS = 1e9;
    private static final int MAX_ATTEMPTS = 3;
    private static final int DESCRIPTORS = 1000;
    private static final long BUFFER_BYTES = 16L << 20;
    private static final int TICKS_A_RANK = 4;

    private final DecisionEngine decisions;
    private final RequestDispatcher dispatcher;
    private final ServerPool servers;
    private final UniformRandomProvider random;
    private final PriorityQueue<Running> running = new PriorityQueue<>();
    private final Deque<Long> calls = new ArrayDeque<>();
    private final Map<Long, Double> totals = new HashMap<>();
    private final Map<Request, Integer> dispatchesOf = new HashMap<>();
    private DispatchListener listener = new NoListener();
    private Cost largestRound = Cost.NONE;
    private Cost requestRounds = Cost.NONE;
    private double now = START;
    private double nextTick = START;
    private long dispatches;
    private long requests;
    private int ticks;

    private static final class NoListener implements DispatchListener {
        @Override
        public void dispatched(Server server, double at) {}

        @Override
        public void answered(Server server, double at) {}
    }

    /** A dispatch whose answer is due at some time. */
    private record Running(
            double due, long sequence, Request request, Server server, int number, double sentAt)
            implements Comparable<Running> {
        @Override
        public int compareTo(Running other) {
            int byTime = Double.compare(due, other.due);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    public GatewayDriver(int gateways, UniformRandomProvider random) throws IOException {
        this.random = random;
        this.decisions =
                new DecisionEngine(
                        random.nextLong(),
                        new GatewayIdentity(0, gateways, "a", 1),
                        new AttemptLimits(MAX_ATTEMPTS, false, true, true, true, 1000),
                        new SlowStartRules(0.3, COLD_MS, 2, 1000),
                        new CounterSettings(true, COUNTER_TIMEOUT_MS, 6, false),
                        new Objectives(0.7, 0.3),
                        false);
        this.dispatcher = new RequestDispatcher(decisions, MAX_ATTEMPTS, DESCRIPTORS, BUFFER_BYTES);
        this.servers =
                new ServerPool(
                        dispatcher,
                        dispatcher,
                        COUNTER_TIMEOUT_MS,
                        NEVER_MS,
                        DESCRIPTORS,
                        List.of());
        dispatcher.attach(null, servers, null, null, null);
    }

    @Override
    public <T> T onIoThread(Callable<T> job) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        dispatcher
                .loop()
                .execute(
                        () -> {
                            try {
                                takeOverRound();
                                done.complete(job.call());
                            } catch (Exception | Error e) {
                                done.completeExceptionally(e);
                            }
                        });
        try {
            return done.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof Exception cause ? cause : e;
        }
    }

    /** From here to the end of the desk's turn the time is virtual and this is the writer. */
    private void takeOverRound() {
        decisions.handleBatch(now, inbox -> {}, this);
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public void pass(double millis) {
        double until = now + millis;
        while (true) {
            double answer = running.isEmpty() ? NEVER_MS : running.peek().due();
            double next = Math.min(nextTick, answer);
            if (next > until) {
                break;
            }
            now = Math.max(now, next);
            if (answer <= nextTick) {
                answer(running.poll());
            } else {
                tick();
            }
        }
        now = until;
    }

    @Override
    public Cost rank() {
        while (ticks % TICKS_A_RANK != 0) {
            pass(nextTick - now);
        }
        while (!running.isEmpty() && running.peek().due() <= nextTick) {
            now = running.peek().due();
            answer(running.poll());
        }
        now = nextTick;
        return Cost.of(this::tick);
    }

    private void tick() {
        ticks++;
        nextTick += TICK_MS;
        Cost before = requestRounds;
        round(inbox -> inbox.timerFired(1));
        requestRounds = before;
        answerCalls();
    }

    private void answer(Running done) {
        Integer open = dispatchesOf.remove(done.request());
        if (open == null) {
            return;
        }
        listener.answered(done.server(), now);
        double took = now - done.sentAt();
        round(
                inbox ->
                        inbox.attemptEnded(
                                done.request(),
                                done.number(),
                                AttemptOutcome.SUCCESS,
                                took,
                                true,
                                0,
                                0,
                                null));
    }

    @Override
    public void list(JsonFields list) {
        servers.updateEndpoints(list);
    }

    @Override
    public void request(Tenant customer, RequestClass frontend, double units) {
        Request request =
                new Request(requests++, frontend, customer, now + frontend.timeoutMs, units, false);
        round(inbox -> inbox.requestArrived(request));
        answerCalls();
    }

    private void answerCalls() {
        while (!calls.isEmpty()) {
            long name = calls.poll();
            round(
                    inbox ->
                            inbox.counterAnswered(
                                    name, AttemptOutcome.SUCCESS, 1, totals.get(name)));
        }
    }

    private void round(Consumer<GatewayEvents> input) {
        Cost cost = Cost.of(() -> decisions.handleBatch(now, input::accept, this));
        largestRound =
                new Cost(
                        Math.max(largestRound.operations(), cost.operations()),
                        Math.max(largestRound.elements(), cost.elements()),
                        Math.max(largestRound.nanos(), cost.nanos()),
                        Math.max(largestRound.allocatedBytes(), cost.allocatedBytes()));
        requestRounds = requestRounds.plus(cost);
    }

    @Override
    public Cost largestRound() {
        return largestRound;
    }

    @Override
    public Cost requestRounds() {
        return requestRounds;
    }

    @Override
    public void resetRounds() {
        largestRound = Cost.NONE;
        requestRounds = Cost.NONE;
    }

    @Override
    public void onDispatch(DispatchListener to) {
        listener = to;
    }

    @Override
    public void close() {
        dispatcher.loop().closeAndAwait(1000);
    }

    @Override
    public void sendAttempt(Request request, Server server, double cap, double within) {
        int number = dispatchesOf.merge(request, 1, Integer::sum) - 1;
        double service = -SERVICE_MS * Math.log(1 - random.nextDouble());
        running.add(new Running(now + service, dispatches++, request, server, number, now));
        listener.dispatched(server, now);
    }

    @Override
    public void incrementCounter(long name, double units, double keep) {
        totals.merge(name, units, Double::sum);
        calls.add(name);
    }

    @Override
    public void reject(Request request, double retryAfter) {
        dispatchesOf.remove(request);
    }

    @Override
    public void fail(Request request) {
        dispatchesOf.remove(request);
    }

    @Override
    public void cancelAttempt(Request request, int attempt) {}

    @Override
    public void setTimer(long token, double wait) {}

    @Override
    public void sendHealthCheck(Server server) {}

    @Override
    public void closeIdleConnections(Server server) {}

    @Override
    public void sendGossip(int peer, String text) {}

    @Override
    public void watchEndpoints(boolean on) {}

    @Override
    public void fetchEndpoints() {}

    @Override
    public void log(String text) {}
}
