package tinford.lab.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import tinford.api.AttemptOutcome;
import tinford.api.DecisionModule;
import tinford.api.GatewayActions;
import tinford.api.GatewayEvents;
import tinford.api.Request;
import tinford.api.Server;

/**
 * A gateway: the decisions as they are, and a front that carries what they write over the model's
 * wires.
 */
final class GatewayNode implements GatewayActions {
    final int number;
    private final Simulation simulation;
    private final DecisionModule.Factory factory;
    private final Map<String, Server> servers = new HashMap<>();
    private final Map<String, Double> drainNotifiedAtMs = new HashMap<>();
    private final Map<ServerMachine, Server.State> missedUpdates =
            new LinkedHashMap<>(); // told while it was down: what each came to last
    private List<Consumer<GatewayEvents>> pendingEvents = new ArrayList<>();
    private DecisionModule gateway;
    private long incarnation;
    private boolean batchScheduled;
    boolean up;
    boolean disconnectedFromCounter; // from the counter
    long batches;

    GatewayNode(Simulation world, int number, DecisionModule.Factory maker) {
        this.simulation = world;
        this.number = number;
        this.factory = maker;
    }

    long incarnation() {
        return incarnation;
    }

    /**
     * From nothing, but for the list that it had last; what changed since it hears in its own time.
     */
    void start(long seed) {
        incarnation++;
        up = true;
        pendingEvents = new ArrayList<>();
        batchScheduled = false;
        gateway = simulation.createModule(factory, seed, number);
        addEvent(GatewayEvents::started);
        List<Server> known = new ArrayList<>();
        for (Server old : servers.values()) {
            Server s = copy(old);
            known.add(s);
        }
        known.forEach(s -> servers.put(s.id, s));
        if (known.isEmpty()) {
            simulation
                    .machines()
                    .forEach(machine -> servers.put(machine.id, entry(machine, Server.State.UP)));
        }
        List<Server> all =
                servers.values().stream().sorted((a, b) -> a.id.compareTo(b.id)).toList();
        addEvent(in -> in.endpointsUpdated(all, true));
        Map<ServerMachine, Server.State> late = new LinkedHashMap<>(missedUpdates);
        missedUpdates.clear();
        if (!late.isEmpty()) {
            simulation.events.after(
                    simulation.lateness(), () -> late.forEach(this::endpointChanged));
        }
    }

    private static Server copy(Server old) {
        Server s = new Server(old.id);
        s.updateAttributes(old.zone(), old.cell(), old.group(), old.weight());
        s.updateState(old.state());
        s.updateStartTime(old.startedAtMs());
        return s;
    }

    private static Server entry(ServerMachine machine, Server.State state) {
        Server s = new Server(machine.id);
        s.updateAttributes(machine.zone, machine.cell, "", 1);
        s.updateState(state);
        s.updateStartTime(machine.born);
        return s;
    }

    void kill() {
        incarnation++;
        up = false;
        gateway = null;
    }

    /** Plays it with all else that has come by the next tick. */
    private void addEvent(Consumer<GatewayEvents> call) {
        pendingEvents.add(call);
        if (!batchScheduled) {
            batchScheduled = true;
            long mine = incarnation;
            double tick = simulation.tick();
            double now = simulation.events.now();
            simulation.events.after(
                    Math.ceil(now / tick + 1e-9) * tick - now,
                    () -> {
                        if (mine == incarnation) {
                            handleBatch();
                        }
                    });
        }
    }

    private void handleBatch() {
        batchScheduled = false;
        batches++;
        List<Consumer<GatewayEvents>> now = pendingEvents;
        pendingEvents = new ArrayList<>();
        gateway.handleBatch(simulation.events.now(), in -> now.forEach(c -> c.accept(in)), this);
    }

    /** Only while this very process lives. */
    private void scheduleEvent(double ms, Consumer<GatewayEvents> call) {
        long mine = incarnation;
        simulation.events.after(
                ms,
                () -> {
                    if (mine == incarnation && up) {
                        addEvent(call);
                    }
                });
    }

    void requestArrived(ClientAttempt attempt) {
        addEvent(in -> in.requestArrived(attempt));
    }

    void clientLeft(ClientAttempt attempt) {
        if (attempt.life == incarnation && !attempt.over) {
            attempt.over = true;
            attempt.left = true;
            addEvent(in -> in.clientDisconnected(attempt));
        }
    }

    /** Discovery's word of one server. */
    void endpointChanged(ServerMachine machine, Server.State state) {
        if (!up) {
            missedUpdates.put(machine, state);
            return;
        }
        Server s = servers.computeIfAbsent(machine.id, id -> entry(machine, state));
        s.updateState(state);
        s.updateStartTime(machine.born);
        if (state == Server.State.UP) {
            drainNotifiedAtMs.remove(machine.id);
        } else {
            drainNotifiedAtMs.putIfAbsent(machine.id, simulation.events.now());
        }
        if (state == Server.State.REMOVED) {
            servers.remove(machine.id);
        }
        addEvent(in -> in.endpointsUpdated(List.of(s), false));
    }

    @Override
    public void sendAttempt(Request request, Server server, double cap, double within) {
        ClientAttempt attempt = (ClientAttempt) request;
        double now = simulation.events.now();
        ServerMachine machine = simulation.machine(server.id);
        boolean answered = server.startedAtMs() == machine.born;
        int number = attempt.visits.size();
        boolean first = attempt.visits.isEmpty();
        simulation.oracle.dispatched(
                attempt,
                machine,
                now,
                drainNotifiedAtMs.getOrDefault(machine.id, Double.POSITIVE_INFINITY),
                first);
        if (first) {
            simulation.sentOn(attempt);
        }
        ClientAttempt.ServerVisit visit = new ClientAttempt.ServerVisit(machine, now);
        attempt.visits.add(visit);
        double left = attempt.deadlineMs - simulation.events.now();
        double wait = cap == 0 ? left : Math.min(cap, left);
        visit.visit =
                new ServerMachine.Visit(
                        attempt.work,
                        end -> {
                            if (end == AttemptOutcome.SUCCESS) {
                                simulation.ran(attempt);
                            }
                            simulation.events.after(
                                    simulation.oneWay(), () -> endAttempt(attempt, number, end));
                        });
        simulation.events.after(
                simulation.oneWay(),
                () -> {
                    if (visit.end == null || visit.end == AttemptOutcome.TIMED_OUT) {
                        simulation.reaches(machine, attempt, visit.visit, answered);
                    }
                });
        simulation.events.after(
                wait,
                () -> {
                    if (visit.end == null) {
                        machine.withdraw(visit.visit);
                        endAttempt(attempt, number, AttemptOutcome.TIMED_OUT);
                    }
                });
    }

    private void endAttempt(ClientAttempt attempt, int number, AttemptOutcome outcome) {
        ClientAttempt.ServerVisit visit = attempt.visits.get(number);
        if (visit.end != null) {
            return;
        }
        visit.end = outcome;
        if (attempt.gatewayGone()) {
            return;
        }
        double now = simulation.events.now();
        attempt.record(now, "hop " + number + " " + outcome);
        if (outcome == AttemptOutcome.SUCCESS && !attempt.over) {
            attempt.over = true;
            simulation.oracle.answered(attempt, "passed", now);
            simulation.answer(attempt, "passed", 0);
        }
        boolean closed = attempt.over;
        addEvent(
                in ->
                        in.attemptEnded(
                                attempt, number, outcome, now - visit.at, closed, 0, 0, null));
    }

    @Override
    public void cancelAttempt(Request request, int number) {
        ClientAttempt attempt = (ClientAttempt) request;
        ClientAttempt.ServerVisit visit = attempt.visits.get(number);
        if (visit.end == null) {
            visit.to.withdraw(visit.visit);
            simulation.events.after(0, () -> endAttempt(attempt, number, AttemptOutcome.CANCELLED));
        }
    }

    @Override
    public void reject(Request request, double retryAfter) {
        finish((ClientAttempt) request, "denied", retryAfter);
    }

    @Override
    public void fail(Request request) {
        finish((ClientAttempt) request, "aborted", 0);
    }

    private void finish(ClientAttempt attempt, String answer, double retryAfter) {
        simulation.oracle.answered(attempt, answer, simulation.events.now());
        if (!attempt.over) {
            attempt.over = true;
            simulation.answer(attempt, answer, retryAfter);
        }
    }

    @Override
    public void setTimer(long token, double wait) {
        scheduleEvent(wait, in -> in.timerFired(token));
    }

    @Override
    public void sendHealthCheck(Server server) {
        scheduleEvent(0, in -> in.healthCheckEnded(server, AttemptOutcome.NOT_SENT, 0, null));
    }

    @Override
    public void closeIdleConnections(Server server) {} // connections cost nothing in this model

    @Override
    public void sendGossip(int peer, String text) {} // gateways do not talk in this model

    @Override
    public void incrementCounter(long name, double amount, double keep) {
        double at = simulation.events.now();
        boolean[] answered = {false};
        simulation.counted();
        Consumer<double[]> answer =
                found -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        double took = simulation.events.now() - at;
                        AttemptOutcome outcome = AttemptOutcome.values()[(int) found[0]];
                        addEvent(in -> in.counterAnswered(name, outcome, took, found[1]));
                    } else if (found[0] == AttemptOutcome.SUCCESS.ordinal()) {
                        addEvent(
                                in -> {
                                    try {
                                        in.counterAnsweredLate(name, found[1]);
                                    } catch (AbstractMethodError e) {
                                        // a version from before late totals were heard: it goes on
                                        // without
                                    }
                                });
                    }
                };
        long mine = incarnation;
        simulation.events.after(
                simulation.oneWayToCounter(),
                () -> {
                    if (!disconnectedFromCounter) {
                        simulation.store.add(
                                name,
                                amount,
                                keep,
                                (outcome, total) ->
                                        simulation.events.after(
                                                simulation.oneWayToCounter(),
                                                () -> {
                                                    if (mine == incarnation
                                                            && up
                                                            && !disconnectedFromCounter) {
                                                        answer.accept(
                                                                new double[] {
                                                                    outcome.ordinal(), total
                                                                });
                                                    }
                                                }));
                    }
                });
        simulation.events.after(
                simulation.counterTimeout(),
                () -> {
                    if (mine == incarnation && up && !answered[0]) {
                        simulation.unanswered();
                        answer.accept(new double[] {AttemptOutcome.TIMED_OUT.ordinal(), 0});
                    }
                });
    }

    @Override
    public void watchEndpoints(boolean on) {} // the list is pushed in this model

    @Override
    public void fetchEndpoints() {}

    @Override
    public void log(String text) {}
}
