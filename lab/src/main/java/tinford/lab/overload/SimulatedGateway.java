package tinford.lab.overload;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import tinford.api.AttemptOutcome;
import tinford.api.FleetPolicy;
import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.Membership;
import tinford.fleet.overload.FleetOverloadPolicy;

/**
 * A gateway that is simpler than the decisions: a learned limit on open dispatches, a queue by
 * worth, servers set aside after failures. Its view of the load is the fleet's own code.
 */
final class SimulatedGateway implements Membership {
    private static final double MAX_SENT_SHARE = 0.1;
    private static final int GOSSIP_EVERY_STEPS = 10;
    private static final int LIMIT_EVERY_STEPS = 20;
    private static final double GOSSIP_LOST_PART = 0.1;
    private static final double GOSSIP_DELAY_MS = 100;
    private static final double GOSSIP_DELAY_SPREAD_MS = 400;
    private static final double GOSSIP_FANOUT = 60;
    private static final double FIRST_GOSSIP_MS = 500;

    private static final double FIRST_LIMIT = 5;
    private static final double MIN_LIMIT = 2.5;
    private static final double FIRST_MEAN_MS = 60;
    private static final double MEAN_WEIGHT = 0.1;

    private static final int MAX_ATTEMPTS = 3;
    private static final double RETRIES_PER_REQUEST = 0.1;
    private static final double MAX_RETRIES_SAVED = 10;
    private static final int FAILURES_UNTIL_UNHEALTHY = 2;
    private static final double EJECTION_MS = 250;
    private static final int MAX_EJECTION_DOUBLINGS = 4;
    private static final double BROKEN_AFTER_MS = 50;

    private static final int MAX_ROUNDS = 3;
    private static final double COMES_BACK = 0.67;
    private static final double BACK_AFTER_MS = 300;

    private final OverloadSimulation simulation;
    private final Random random;
    private final int number;
    private final OverloadSimulation.Mode mode;
    private final FleetOverloadPolicy overload;
    private final FleetPolicy view;
    private final Map<Integer, GossipRecord> heard = new LinkedHashMap<>();
    private final Map<SimulatedServer, ServerState> servers = new LinkedHashMap<>();
    private final TreeSet<SimulatedRequest> waiting =
            new TreeSet<>(SimulatedGateway::compareByWorth);
    private final double minLimit;
    private double limit;
    private double meanMs = FIRST_MEAN_MS;
    private double retriesSpared;
    private int open;
    private List<GossipRecord> fresh;
    private double freshAt = -1;
    double worthyAsked;
    double worthyPassed;

    /** What this gateway knows of one server. */
    private static final class ServerState {
        int open;
        int failures;
        double barredUntil;
        boolean unhealthy;
    }

    SimulatedGateway(OverloadSimulation simulation, int number, int gateways) {
        this.simulation = simulation;
        this.random = simulation.random();
        this.number = number;
        this.mode = simulation.mode();
        Random own = new Random(random.nextLong());
        Incarnation incarnation = new Incarnation(number, 1);
        overload =
                new FleetOverloadPolicy(0, incarnation, simulation.windowMs(), MAX_SENT_SHARE, own);
        view = mode == OverloadSimulation.Mode.ALONE ? new FleetPolicy() : overload;
        simulation.servers().forEach(server -> servers.put(server, new ServerState()));
        limit = FIRST_LIMIT * servers.size() / gateways;
        minLimit = MIN_LIMIT * servers.size() / gateways;
    }

    private static int compareByWorth(SimulatedRequest one, SimulatedRequest other) {
        return one.worth == other.worth
                ? Long.compare(one.request.id, other.request.id)
                : Double.compare(other.worth, one.worth);
    }

    /** One step of the clock. */
    void step(int sequence) {
        if (view == overload) {
            overload.update(simulation.now(), this);
            if (sequence % GOSSIP_EVERY_STEPS == 0) {
                gossip(sequence);
            }
        }
        if (sequence % LIMIT_EVERY_STEPS == 0) {
            adaptLimit();
        }
        for (SimulatedRequest request : new ArrayList<>(waiting)) {
            if (waitedMs(request) > longestWaitMs()) {
                waiting.remove(request);
                deny(request);
            } else if (!isFull() && send(request)) {
                waiting.remove(request);
            }
        }
    }

    private void adaptLimit() {
        if (meanMs > 0.4 * OverloadSimulation.TARGET_MS) {
            limit = Math.max(minLimit, limit * 0.9);
        } else if (open >= 0.7 * limit) {
            limit = limit * 1.01 + minLimit / 50;
        }
    }

    private boolean isFull() {
        return open >= Math.max(1, limit + Math.sqrt(limit));
    }

    /** How long a request may wait before it would be late. */
    private double longestWaitMs() {
        double target = OverloadSimulation.TARGET_MS;
        return target - Math.max(0.1 * target, 1.6 * meanMs);
    }

    private double waitedMs(SimulatedRequest request) {
        return simulation.now() - request.askedAt;
    }

    private void gossip(int sequence) {
        GossipRecord record = overload.record(sequence);
        heard.put(number, record);
        if (mode == OverloadSimulation.Mode.GOSSIP) {
            tell(record);
        }
    }

    /** Each record gets to a few at once and to all within half a second; one in ten is lost. */
    private void tell(GossipRecord record) {
        int gateways = simulation.gateways().size();
        for (SimulatedGateway other : simulation.gateways()) {
            if (other == this
                    || random.nextDouble() < GOSSIP_LOST_PART
                    || gateways > GOSSIP_FANOUT && random.nextDouble() > GOSSIP_FANOUT / gateways) {
                continue;
            }
            double delay = GOSSIP_DELAY_MS + GOSSIP_DELAY_SPREAD_MS * random.nextDouble();
            simulation.later(delay, () -> other.hear(number, record));
        }
    }

    private void hear(int from, GossipRecord record) {
        if (record.isNewerThan(heard.get(from))) {
            heard.put(from, record);
        }
    }

    /** A client asks. */
    void arrive(SimulatedRequest request) {
        view.requestOffered(request.request, request.worth);
        double part = view.admittedShare(request.worth);
        if (part < 1 && random.nextDouble() >= part) {
            deny(request);
        } else {
            sendOrQueue(request);
        }
    }

    private void sendOrQueue(SimulatedRequest request) {
        if (isFull() || !send(request)) {
            waiting.add(request);
        }
    }

    /** Returns whether there was a server for it. */
    private boolean send(SimulatedRequest request) {
        SimulatedServer server = chooseServer();
        if (server == null) {
            return false;
        }
        servers.get(server).open++;
        open++;
        view.attemptSent(request.request, server.identity, request.worth, request.dispatches > 0);
        if (!request.isFurther) {
            retriesSpared = Math.min(MAX_RETRIES_SAVED, retriesSpared + RETRIES_PER_REQUEST);
        }
        simulation.figures().dispatched(request, server, simulation.now());
        request.dispatches++;
        run(request, server);
        return true;
    }

    /** The one with the fewest open dispatches; among equals by chance. */
    private SimulatedServer chooseServer() {
        SimulatedServer best = null;
        int leastOpen = 0;
        int equals = 1;
        for (Map.Entry<SimulatedServer, ServerState> each : servers.entrySet()) {
            ServerState state = each.getValue();
            if (!isUsable(each.getKey(), state) || best != null && state.open > leastOpen) {
                continue;
            }
            equals = best != null && state.open == leastOpen ? equals + 1 : 1;
            if (random.nextInt(equals) == 0) {
                best = each.getKey();
            }
            leastOpen = state.open;
        }
        return best;
    }

    private boolean isUsable(SimulatedServer server, ServerState state) {
        return simulation.now() >= state.barredUntil
                && !(state.unhealthy && state.open > 0)
                && view.ownsProbing(server.identity);
    }

    private void run(SimulatedRequest request, SimulatedServer server) {
        if (server.lost) {
            simulation.later(BROKEN_AFTER_MS, () -> failed(request, server));
            return;
        }
        double now = simulation.now();
        server.freeAt =
                Math.max(server.freeAt, now)
                        + request.request.units / OverloadSimulation.UNITS_PER_MS;
        double longest = 2 * OverloadSimulation.TARGET_MS;
        double took = Math.min(server.freeAt - now + OverloadSimulation.LATENCY_MS, longest);
        AttemptOutcome how = took >= longest ? AttemptOutcome.TIMED_OUT : AttemptOutcome.SUCCESS;
        simulation.later(took, () -> answered(request, server, how, took));
    }

    /** Returns whether it is late. */
    private boolean ended(SimulatedRequest request, SimulatedServer server, AttemptOutcome how) {
        servers.get(server).open--;
        open--;
        boolean late = simulation.now() - request.askedAt > OverloadSimulation.TARGET_MS;
        view.attemptEnded(request.request, server.identity, how, late);
        return late;
    }

    private void answered(
            SimulatedRequest request, SimulatedServer server, AttemptOutcome how, double tookMs) {
        boolean late = ended(request, server, how);
        meanMs += MEAN_WEIGHT * (tookMs - meanMs);
        ServerState state = servers.get(server);
        state.failures = 0;
        state.unhealthy = false;
        if (late) {
            comeBack(request);
            return;
        }
        view.serverHealthChanged(server.identity, false);
        simulation.figures().passed(request, this, simulation.now());
    }

    private void failed(SimulatedRequest request, SimulatedServer server) {
        ended(request, server, AttemptOutcome.CONNECTION_LOST);
        countFailure(server);
        boolean mayRetry = view.retryAllowance(retriesSpared) >= 1;
        boolean inTime = waitedMs(request) < longestWaitMs();
        if (mayRetry && inTime && request.dispatches < MAX_ATTEMPTS) {
            retriesSpared = Math.max(0, retriesSpared - 1);
            request.isFurther = true;
            sendOrQueue(request); // nobody else sends it meanwhile
        } else {
            comeBack(request);
        }
    }

    private void countFailure(SimulatedServer server) {
        ServerState state = servers.get(server);
        state.failures++;
        state.unhealthy = state.failures >= FAILURES_UNTIL_UNHEALTHY;
        if (state.unhealthy) {
            int doublings =
                    Math.min(MAX_EJECTION_DOUBLINGS, state.failures - FAILURES_UNTIL_UNHEALTHY);
            state.barredUntil = simulation.now() + EJECTION_MS * (1 << doublings);
            view.serverHealthChanged(server.identity, true);
        }
    }

    private void deny(SimulatedRequest request) {
        if (request.dispatches == 0) {
            view.requestRejected(request.request, request.worth);
        }
        comeBack(request);
    }

    /** Two in three clients come back, through any gateway, three times at most. */
    private void comeBack(SimulatedRequest request) {
        if (request.round >= MAX_ROUNDS || random.nextDouble() > COMES_BACK) {
            return;
        }
        List<SimulatedGateway> all = simulation.gateways();
        SimulatedGateway gateway = all.get(random.nextInt(all.size()));
        double delay = BACK_AFTER_MS + view.retryAfterJitterMs() * random.nextDouble();
        simulation.later(delay, () -> gateway.arrive(request.again(simulation.now())));
    }

    @Override
    public int aliveCount() {
        boolean gossips = mode == OverloadSimulation.Mode.GOSSIP;
        return gossips && simulation.now() > FIRST_GOSSIP_MS ? fleetSize() : 1;
    }

    @Override
    public boolean isAlive(int gateway) {
        return true;
    }

    @Override
    public List<Integer> aliveGateways() {
        return simulation.gatewayNumbers();
    }

    @Override
    public List<GossipRecord> freshRecords() {
        if (freshAt != simulation.now()) {
            freshAt = simulation.now();
            fresh = new ArrayList<>(heard.values());
        }
        return fresh;
    }

    @Override
    public int fleetSize() {
        return simulation.gateways().size();
    }
}
