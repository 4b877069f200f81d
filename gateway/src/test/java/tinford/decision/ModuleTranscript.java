package tinford.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
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
 * Runs a small random scenario against one decision module, through its public interface, and
 * records every action and every call to the fleet's policy, one per line. It covers what the
 * simulator protocol does not support: plan changes, a fleet policy, answers of the counter after
 * the timeout, and two overlapping processes of one gateway.
 */
final class ModuleTranscript implements GatewayActions {
    private static final double TICK_MS = 2;
    private static final double START_MS = 100_000;
    private static final double COUNTER_TIMEOUT_MS = 50;

    /** The events that are added to the base traffic. */
    enum Scenario {
        PLAN_CHANGE(11),
        FLEET_POLICY(12),
        HANDOVER(13),
        LATE_COUNTER(14),
        EVERYTHING(15);

        private final long seed;

        Scenario(long seed) {
            this.seed = seed;
        }

        String fileName() {
            return name().toLowerCase(Locale.ROOT) + ".txt.gz";
        }
    }

    private record Task(double atMs, long order, Consumer<GatewayEvents> event)
            implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** The progress of one request. */
    private static final class Progress {
        boolean over;
        int attempts;
    }

    private final Scenario scenario;
    private final Random random;
    private final DecisionEngine module;
    private final List<String> lines = new ArrayList<>();
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final List<Server> servers = new ArrayList<>();
    private final Map<Long, Double> counterTotals = new HashMap<>();
    private final Map<Request, Progress> requests = new HashMap<>();
    private final List<RequestClass> classes =
            List.of(
                    requestClass("read", 1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                    requestClass("pay", 5, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL),
                    requestClass("write", 3, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE),
                    requestClass("post", 2, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL));
    private List<Plan> plans = plans(1);
    private double nowMs = START_MS;
    private long order;
    private long lastRequestId;

    ModuleTranscript(Scenario scenario) {
        this.scenario = scenario;
        this.random = new Random(scenario.seed);
        this.module =
                new DecisionEngine(
                        scenario.seed,
                        new GatewayIdentity(1, 3, "a", TICK_MS),
                        new AttemptLimits(3, true, true, true, false, 2000),
                        new SlowStartRules(0.3, 4000, 2, 1000),
                        new CounterSettings(true, COUNTER_TIMEOUT_MS, 4, true),
                        new Objectives(0.7, 0.3),
                        false);
    }

    private static RequestClass requestClass(
            String name, double weight, Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass(name, 300, 1200, weight, 0, idempotency, scope, 900, false);
    }

    private static List<Plan> plans(double scale) {
        return List.of(
                new Plan("small", 0.008 * scale, 10 * scale, 0, 1, 0, 1, 0, 0, 0),
                new Plan("large", 0.03 * scale, 30, 0, 2, 0.2, 0, 0.06, 20 * scale, 2),
                new Plan("open", 0, 0, 5, 1.5, 0, 0, 0, 0, 0));
    }

    /** Runs for five seconds of simulated time and returns the recorded lines. */
    List<String> run() {
        for (int i = 0; i < 7; i++) {
            servers.add(newServer(i));
        }
        scheduleScenario();
        while (nowMs < START_MS + 5000) {
            scheduleArrivals();
            handleDueEvents();
            nowMs += TICK_MS;
        }
        return lines;
    }

    private static Server newServer(int index) {
        Server server = new Server("s" + index);
        server.updateAttributes(index % 2 == 0 ? "a" : "b", index / 2, "", 1 + index % 2);
        server.updateState(Server.State.UP);
        server.updateStartTime(index == 3 ? START_MS - 500 : 0);
        return server;
    }

    private void scheduleScenario() {
        after(0, GatewayEvents::started);
        after(0, events -> events.endpointsUpdated(servers, true));
        if (scenario == Scenario.FLEET_POLICY || scenario == Scenario.EVERYTHING) {
            after(10, events -> events.fleetPolicyChanged(new TranscriptPolicy(this::line)));
        }
        if (scenario == Scenario.PLAN_CHANGE || scenario == Scenario.EVERYTHING) {
            after(1500, events -> changePlans(events, 0.5));
            after(3000, events -> changePlans(events, 2));
        }
        if (scenario == Scenario.HANDOVER || scenario == Scenario.EVERYTHING) {
            after(1000, GatewayEvents::takeoverStarted);
            after(4000, GatewayEvents::drainingStarted);
        }
        after(1800, events -> restart(events, servers.get(1)));
        after(2500, events -> drain(events, servers.get(2)));
    }

    private void handleDueEvents() {
        List<Task> due = new ArrayList<>();
        while (!tasks.isEmpty() && tasks.peek().atMs() <= nowMs) {
            due.add(tasks.poll());
        }
        if (!due.isEmpty()) {
            line("at %s", nowMs);
            module.handleBatch(
                    nowMs, events -> due.forEach(task -> task.event().accept(events)), this);
        }
    }

    private void line(String format, Object... values) {
        lines.add(String.format(Locale.ROOT, format, values));
    }

    private void after(double delayMs, Consumer<GatewayEvents> event) {
        tasks.add(new Task(nowMs + delayMs, order++, event));
    }

    private void changePlans(GatewayEvents events, double scale) {
        plans = plans(scale);
        events.plansChanged(Set.copyOf(plans));
    }

    private void restart(GatewayEvents events, Server server) {
        server.updateStartTime(nowMs);
        events.endpointsUpdated(List.of(server), false);
    }

    private void drain(GatewayEvents events, Server server) {
        server.updateState(Server.State.DRAINING);
        events.endpointsUpdated(List.of(server), false);
    }

    private void scheduleArrivals() {
        while (random.nextDouble() < 0.45) {
            int number = random.nextInt(9);
            long revision = plans.get(0).burst == 10 ? 1 : plans.get(0).burst == 5 ? 2 : 3;
            Tenant tenant =
                    new Tenant(number, plans.get(number % 3), 1 + number % 2 * 2, 1, revision);
            Request request =
                    new Request(
                            ++lastRequestId,
                            classes.get(random.nextInt(classes.size())),
                            tenant,
                            nowMs + 100 + random.nextInt(1100),
                            1 + random.nextInt(3),
                            false);
            requests.put(request, new Progress());
            after(0, events -> events.requestArrived(request));
            double disconnectDelayMs = random.nextInt(12) == 0 ? random.nextInt(200) : 1300;
            after(disconnectDelayMs, events -> disconnect(events, request));
        }
    }

    private void disconnect(GatewayEvents events, Request request) {
        Progress progress = requests.get(request);
        if (!progress.over) {
            progress.over = true;
            events.clientDisconnected(request);
        }
    }

    @Override
    public void sendAttempt(Request request, Server server, double timeoutMs, double sendWithinMs) {
        line("attempt %d %s %s %s", request.id, server.id, timeoutMs, sendWithinMs);
        Progress progress = requests.get(request);
        int attempt = progress.attempts++;
        boolean faulty = server.cell() == 2 && nowMs > START_MS + 1200 && nowMs < START_MS + 3000;
        AttemptOutcome outcome = AttemptOutcome.SUCCESS;
        double tookMs = 4 - Math.log(1 - random.nextDouble()) * 20 * request.units;
        if (faulty && random.nextInt(3) == 0) {
            outcome = AttemptOutcome.values()[1 + random.nextInt(7)];
        }
        double limitMs = timeoutMs > 0 ? timeoutMs : 1200;
        if (tookMs > limitMs || faulty && random.nextInt(6) == 0) {
            outcome = AttemptOutcome.TIMED_OUT;
            tookMs = limitMs;
        }
        endLater(request, attempt, outcome, tookMs);
    }

    private void endLater(Request request, int attempt, AttemptOutcome outcome, double tookMs) {
        after(tookMs, events -> end(events, request, attempt, outcome, tookMs));
    }

    private void end(
            GatewayEvents events,
            Request request,
            int attempt,
            AttemptOutcome outcome,
            double tookMs) {
        Progress progress = requests.get(request);
        boolean answered = outcome == AttemptOutcome.SUCCESS && !progress.over;
        progress.over |= answered;
        double settled = answered ? 1 + random.nextInt(3) : 0;
        events.attemptEnded(request, attempt, outcome, tookMs, progress.over, 0, settled, null);
    }

    @Override
    public void cancelAttempt(Request request, int attempt) {
        line("cancel %d %d", request.id, attempt);
    }

    @Override
    public void reject(Request request, double retryAfterMs) {
        line("reject %d %s", request.id, retryAfterMs);
        requests.get(request).over = true;
    }

    @Override
    public void fail(Request request) {
        line("fail %d", request.id);
        requests.get(request).over = true;
    }

    @Override
    public void setTimer(long token, double delayMs) {
        line("timer %d %s", token, delayMs);
        after(delayMs, events -> events.timerFired(token));
    }

    @Override
    public void sendHealthCheck(Server server) {
        line("health check %s", server.id);
    }

    @Override
    public void closeIdleConnections(Server server) {
        line("close idle %s", server.id);
    }

    @Override
    public void sendGossip(int peer, String text) {
        line("gossip %d %s", peer, text);
    }

    @Override
    public void incrementCounter(long counterKey, double amount, double ttlMs) {
        line("increment %d %s %s", counterKey, amount, ttlMs);
        double total = counterTotals.merge(counterKey, amount, Double::sum);
        boolean late =
                (scenario == Scenario.LATE_COUNTER || scenario == Scenario.EVERYTHING)
                        && nowMs > START_MS + 700
                        && random.nextInt(3) > 0;
        if (!late) {
            double tookMs = 2 + random.nextInt(6);
            after(
                    tookMs,
                    events ->
                            events.counterAnswered(
                                    counterKey, AttemptOutcome.SUCCESS, tookMs, total));
            return;
        }
        after(
                COUNTER_TIMEOUT_MS,
                events ->
                        events.counterAnswered(
                                counterKey, AttemptOutcome.TIMED_OUT, COUNTER_TIMEOUT_MS, 0));
        if (random.nextInt(4) > 0) {
            after(
                    COUNTER_TIMEOUT_MS + random.nextInt(60),
                    events -> events.counterAnsweredLate(counterKey, total));
        }
    }

    @Override
    public void watchEndpoints(boolean enabled) {
        line("watch %s", enabled);
    }

    @Override
    public void fetchEndpoints() {
        line("fetch");
    }

    @Override
    public void log(String text) {
        line("log %s", text);
    }
}
