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
    private final Simulation world;
    private final DecisionModule.Factory maker;
    private final Map<String, Server> servers = new HashMap<>();
    private final Map<String, Double> drainToldAt = new HashMap<>();
    private final Map<ServerMachine, Server.State> missed =
            new LinkedHashMap<>(); // told while it was down: what each came to last
    private List<Consumer<GatewayEvents>> came = new ArrayList<>();
    private DecisionModule gateway;
    private long life;
    private boolean due;
    boolean up;
    boolean cutOff; // from the counter
    long rounds;

    GatewayNode(Simulation world, int number, DecisionModule.Factory maker) {
        this.world = world;
        this.number = number;
        this.maker = maker;
    }

    long life() {
        return life;
    }

    /**
     * From nothing, but for the list that it had last; what changed since it hears in its own time.
     */
    void start(long seed) {
        life++;
        up = true;
        came = new ArrayList<>();
        due = false;
        gateway = world.make(maker, seed, number);
        input(GatewayEvents::started);
        List<Server> known = new ArrayList<>();
        for (Server old : servers.values()) {
            Server s = copy(old);
            known.add(s);
        }
        known.forEach(s -> servers.put(s.id, s));
        if (known.isEmpty()) {
            world.machines().forEach(m -> servers.put(m.id, entry(m, Server.State.UP)));
        }
        List<Server> all =
                servers.values().stream().sorted((a, b) -> a.id.compareTo(b.id)).toList();
        input(in -> in.endpointsUpdated(all, true));
        Map<ServerMachine, Server.State> late = new LinkedHashMap<>(missed);
        missed.clear();
        if (!late.isEmpty()) {
            world.agenda.after(world.lateness(), () -> late.forEach(this::listed));
        }
    }

    private static Server copy(Server old) {
        Server s = new Server(old.id);
        s.updateAttributes(old.zone(), old.cell(), old.group(), old.weight());
        s.updateState(old.state());
        s.updateStartTime(old.startedAtMs());
        return s;
    }

    private static Server entry(ServerMachine m, Server.State state) {
        Server s = new Server(m.id);
        s.updateAttributes(m.zone, m.cell, "", 1);
        s.updateState(state);
        s.updateStartTime(m.born);
        return s;
    }

    void kill() {
        life++;
        up = false;
        gateway = null;
    }

    /** Plays it with all else that has come by the next tick. */
    private void input(Consumer<GatewayEvents> call) {
        came.add(call);
        if (!due) {
            due = true;
            long mine = life;
            double tick = world.tick();
            double now = world.agenda.now();
            world.agenda.after(
                    Math.ceil(now / tick + 1e-9) * tick - now,
                    () -> {
                        if (mine == life) {
                            round();
                        }
                    });
        }
    }

    private void round() {
        due = false;
        rounds++;
        List<Consumer<GatewayEvents>> now = came;
        came = new ArrayList<>();
        gateway.handleBatch(world.agenda.now(), in -> now.forEach(c -> c.accept(in)), this);
    }

    /** Only while this very process lives. */
    private void later(double ms, Consumer<GatewayEvents> call) {
        long mine = life;
        world.agenda.after(
                ms,
                () -> {
                    if (mine == life && up) {
                        input(call);
                    }
                });
    }

    void arrive(ClientAttempt t) {
        input(in -> in.requestArrived(t));
    }

    void left(ClientAttempt t) {
        if (t.life == life && !t.over) {
            t.over = true;
            t.left = true;
            input(in -> in.clientDisconnected(t));
        }
    }

    /** Discovery's word of one server. */
    void listed(ServerMachine m, Server.State state) {
        if (!up) {
            missed.put(m, state);
            return;
        }
        Server s = servers.computeIfAbsent(m.id, id -> entry(m, state));
        s.updateState(state);
        s.updateStartTime(m.born);
        if (state == Server.State.UP) {
            drainToldAt.remove(m.id);
        } else {
            drainToldAt.putIfAbsent(m.id, world.agenda.now());
        }
        if (state == Server.State.REMOVED) {
            servers.remove(m.id);
        }
        input(in -> in.endpointsUpdated(List.of(s), false));
    }

    @Override
    public void sendAttempt(Request request, Server srv, double cap, double within) {
        ClientAttempt t = (ClientAttempt) request;
        double now = world.agenda.now();
        ServerMachine m = world.machine(srv.id);
        boolean told = srv.startedAtMs() == m.born;
        int no = t.hops.size();
        boolean first = t.hops.isEmpty();
        world.oracle.dispatched(
                t, m, now, drainToldAt.getOrDefault(m.id, Double.POSITIVE_INFINITY), first);
        if (first) {
            world.sentOn(t);
        }
        ClientAttempt.Hop hop = new ClientAttempt.Hop(m, now);
        t.hops.add(hop);
        double left = t.deadlineMs - world.agenda.now();
        double wait = cap == 0 ? left : Math.min(cap, left);
        hop.visit =
                new ServerMachine.Visit(
                        t.work,
                        end -> {
                            if (end == AttemptOutcome.SUCCESS) {
                                world.ran(t);
                            }
                            world.agenda.after(world.oneWay(), () -> ends(t, no, end));
                        });
        world.agenda.after(
                world.oneWay(),
                () -> {
                    if (hop.end == null || hop.end == AttemptOutcome.TIMED_OUT) {
                        world.reaches(m, t, hop.visit, told);
                    }
                });
        world.agenda.after(
                wait,
                () -> {
                    if (hop.end == null) {
                        m.withdraw(hop.visit);
                        ends(t, no, AttemptOutcome.TIMED_OUT);
                    }
                });
    }

    private void ends(ClientAttempt t, int no, AttemptOutcome how) {
        ClientAttempt.Hop hop = t.hops.get(no);
        if (hop.end != null) {
            return;
        }
        hop.end = how;
        if (t.gatewayGone()) {
            return;
        }
        double now = world.agenda.now();
        t.tell(now, "hop " + no + " " + how);
        if (how == AttemptOutcome.SUCCESS && !t.over) {
            t.over = true;
            world.oracle.answered(t, "passed", now);
            world.answer(t, "passed", 0);
        }
        boolean closed = t.over;
        input(in -> in.attemptEnded(t, no, how, now - hop.at, closed, 0, 0, null));
    }

    @Override
    public void cancelAttempt(Request request, int no) {
        ClientAttempt t = (ClientAttempt) request;
        ClientAttempt.Hop hop = t.hops.get(no);
        if (hop.end == null) {
            hop.to.withdraw(hop.visit);
            world.agenda.after(0, () -> ends(t, no, AttemptOutcome.CANCELLED));
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

    private void finish(ClientAttempt t, String answer, double retryAfter) {
        world.oracle.answered(t, answer, world.agenda.now());
        if (!t.over) {
            t.over = true;
            world.answer(t, answer, retryAfter);
        }
    }

    @Override
    public void setTimer(long token, double wait) {
        later(wait, in -> in.timerFired(token));
    }

    @Override
    public void sendHealthCheck(Server srv) {
        later(0, in -> in.healthCheckEnded(srv, AttemptOutcome.NOT_SENT, 0, null));
    }

    @Override
    public void closeIdleConnections(Server srv) {} // connections cost nothing in this model

    @Override
    public void sendGossip(int peer, String text) {} // gateways do not talk in this model

    @Override
    public void incrementCounter(long name, double amount, double keep) {
        double at = world.agenda.now();
        boolean[] told = {false};
        world.counted();
        Consumer<double[]> answer =
                found -> {
                    if (!told[0]) {
                        told[0] = true;
                        double took = world.agenda.now() - at;
                        AttemptOutcome how = AttemptOutcome.values()[(int) found[0]];
                        input(in -> in.counterAnswered(name, how, took, found[1]));
                    } else if (found[0] == AttemptOutcome.SUCCESS.ordinal()) {
                        input(
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
        long mine = life;
        world.agenda.after(
                world.oneWayToCounter(),
                () -> {
                    if (!cutOff) {
                        world.store.add(
                                name,
                                amount,
                                keep,
                                (how, total) ->
                                        world.agenda.after(
                                                world.oneWayToCounter(),
                                                () -> {
                                                    if (mine == life && up && !cutOff) {
                                                        answer.accept(
                                                                new double[] {
                                                                    how.ordinal(), total
                                                                });
                                                    }
                                                }));
                    }
                });
        world.agenda.after(
                world.counterTimeout(),
                () -> {
                    if (mine == life && up && !told[0]) {
                        world.unanswered();
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
