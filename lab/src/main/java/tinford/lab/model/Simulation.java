package tinford.lab.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import tinford.api.*;
import tinford.lab.scenario.Scenario;
import tinford.lab.scenario.Trace;

/** One run: the parties of a scenario, put together, with what goes wrong, from start to end. */
public final class Simulation implements FaultInjector.Ground {
    /** When a run begins, ms: no party's clock begins at nought. */
    public static final double START = 1_000_000;

    private static final double SETTLES =
            2; // times the longest timeout that is waited for the last answers
    private static final double NOTICE =
            2000; // requests that would come to a dead gateway go on coming so long
    final EventQueue agenda = new EventQueue(START);
    final Oracle oracle;
    final CounterStore store;
    private final Scenario s;
    private final RandomStreams streams;
    private final UniformRandomProvider wires;
    private final UniformRandomProvider callers;
    private final UniformRandomProvider seeds;
    private final Map<String, ServerMachine> machines = new LinkedHashMap<>();
    private final List<GatewayNode> nodes = new ArrayList<>();
    private final List<RequestClass> frontends = new ArrayList<>();
    private final Map<RequestClass, ContinuousSampler> work = new HashMap<>();
    private final TenantPopulation customers;
    private final Map<Tenant, TokenBucket> offered = new HashMap<>();
    private final Map<Tenant, TokenBucket> used = new HashMap<>();
    private final RunResult outcome;
    private final Trace trace;
    private final List<Trace.Ask> asked = new ArrayList<>();
    private double rise = 1;
    private double counterAway;
    private long ids;

    public Simulation(Scenario s, long seed, DecisionModule.Factory maker) {
        this(s, seed, maker, null);
    }

    /**
     * @param trace the traffic, in place of drawn requests; its customers' gateways and all work
     *     are drawn all the same
     */
    public Simulation(Scenario s, long seed, DecisionModule.Factory maker, Trace trace) {
        this.trace = trace;
        this.s = s;
        this.streams = new RandomStreams(seed);
        this.outcome = new RunResult(seed);
        this.wires = streams.of("wires");
        this.callers = streams.of("callers");
        this.seeds = streams.of("gateways");
        this.oracle =
                new Oracle(
                        s.rules().drain_grace(),
                        s.rules().fall_multiple(),
                        s.rules().fall_time(),
                        s.meanWork());
        this.store =
                new CounterStore(
                        agenda,
                        s.counter().parts(),
                        ZigguratSampler.Exponential.of(streams.of("counter"), s.counter().takes()),
                        s.counter().line());
        UniformRandomProvider speeds = streams.of("speeds");
        for (int i = 0; i < s.servers().count(); i++) {
            double speed =
                    s.servers().speed()
                            * (1 + s.servers().speed_spread() * (2 * speeds.nextDouble() - 1));
            String id = String.format("s%04d", i);
            machines.put(
                    id,
                    new ServerMachine(
                            agenda,
                            id,
                            s.servers().zones().get(i % s.servers().zones().size()),
                            i % 8,
                            s.servers().cores(),
                            s.servers().room(),
                            speed,
                            s.servers().cold_from(),
                            s.servers().cold_time()));
        }
        for (Scenario.Frontend f : s.frontends()) {
            RequestClass made =
                    new RequestClass(
                            f.name(),
                            f.target(),
                            f.timeout(),
                            f.value(),
                            0,
                            Idempotency.valueOf(f.effect().name()),
                            DeduplicationScope.CELL,
                            f.repeat_window(),
                            false);
            frontends.add(made);
            work.put(made, f.dist().of(streams.of("work " + f.name()), f.work(), f.cv()));
        }
        customers = new TenantPopulation(s, streams.of("customers"));
        for (int i = 0; i < s.gateways(); i++) {
            nodes.add(new GatewayNode(this, i, maker));
        }
    }

    public RunResult run() {
        for (GatewayNode n : nodes) {
            n.start(seeds.nextLong());
        }
        double end = START + s.length_s() * 1000;
        double mean = (1 + s.clients().largest()) / 2;
        ContinuousSampler gap =
                ZigguratSampler.Exponential.of(
                        streams.of("arrivals"), mean / customers.unitsPerMs());
        if (trace == null) {
            arrive(gap, streams.of("asked"), end);
        } else {
            replay(0, streams.of("asked"), end);
        }
        UniformRandomProvider faults = streams.of("faults");
        for (Scenario.Fault f : s.faults()) {
            agenda.after(f.at_s() * 1000, () -> FaultInjector.begin(f, this, faults));
        }
        double longest = frontends.stream().mapToDouble(f -> f.timeoutMs).max().orElse(0);
        agenda.run(end);
        double busy = machines.values().stream().mapToDouble(m -> m.busy).sum();
        outcome.load = busy / (s.length_s() * 1000 * s.servers().count() * s.servers().cores());
        agenda.run(end + SETTLES * longest);
        outcome.broken = Collections.unmodifiableList(oracle.broken());
        outcome.brokenCount = oracle.count();
        outcome.things = agenda.done();
        outcome.cold(oracle.cold(), START);
        return outcome;
    }

    private void arrive(ContinuousSampler gap, UniformRandomProvider draw, double end) {
        double next = gap.sample() / rise;
        if (agenda.now() + next > end) {
            return;
        }
        agenda.after(
                next,
                () -> {
                    int number = customers.numberAt(draw.nextDouble());
                    Tenant customer = customers.get(number);
                    RequestClass frontend = frontend(draw.nextDouble());
                    double units = 1 + draw.nextInt((int) s.clients().largest());
                    int way = customers.way(customer, agenda.now(), draw);
                    if (customers.asks(number, agenda.now(), draw)) {
                        ask(customer, frontend, units, way, draw);
                    }
                    arrive(gap, draw, end);
                });
    }

    private void replay(int i, UniformRandomProvider draw, double end) {
        if (i >= trace.asks().size() || START + trace.asks().get(i).at() > end) {
            return;
        }
        Trace.Ask a = trace.asks().get(i);
        agenda.after(
                START + a.at() - agenda.now(),
                () -> {
                    Tenant c = customers.recorded(a.customer(), a.plan());
                    RequestClass f =
                            frontends.stream()
                                    .filter(k -> k.name.equals(a.frontend()))
                                    .findFirst()
                                    .orElseThrow();
                    ask(c, f, a.units(), a.way(), draw);
                    replay(i + 1, draw, end);
                });
    }

    /** The first gateway of a customer that a trace names. */
    public static int first(long customer, int gateways) {
        return TenantPopulation.firstGateway(customer, gateways);
    }

    private void ask(Tenant c, RequestClass f, double units, int way, UniformRandomProvider draw) {
        asked.add(new Trace.Ask(agenda.now() - START, c.id, c.plan.name, f.name, units, way));
        boolean inside =
                offered.computeIfAbsent(
                                c,
                                k -> new TokenBucket(c.plan.quotaPerMs, c.plan.burst, agenda.now()))
                        .take(units, agenda.now());
        ClientAttempt.Asked first =
                new ClientAttempt.Asked(c, f, units, work.get(f).sample(), inside);
        if (inside) {
            outcome.offered += first.value;
        }
        send(first, way, draw.nextDouble() < s.clients().leave() ? draw.nextDouble() : 1);
    }

    /** What was asked for first, after a run. */
    public Trace asked() {
        return new Trace(List.copyOf(asked));
    }

    private RequestClass frontend(double at) {
        double left = at * s.frontends().stream().mapToDouble(Scenario.Frontend::share).sum();
        for (int i = 0; i < frontends.size(); i++) {
            left -= s.frontends().get(i).share();
            if (left < 0) {
                return frontends.get(i);
            }
        }
        return frontends.get(frontends.size() - 1);
    }

    /**
     * @param way which of its customer's gateways; {@code stays} the share of its patience that the
     *     client has
     */
    private void send(ClientAttempt.Asked asked, int way, double stays) {
        int at = (asked.customer.firstGateway + way) % nodes.size();
        asked.tries++;
        outcome.tries++;
        GatewayNode n = nodes.get(at);
        if (!n.up) {
            // nobody hears it: the front has not noticed yet
            outcome.unanswered++;
            again(asked, NOTICE);
            return;
        }
        ClientAttempt t = new ClientAttempt(++ids, asked, n::life, agenda.now(), asked.tries > 1);
        n.arrive(t);
        if (stays < 1) {
            agenda.after(
                    stays * t.requestClass.timeoutMs,
                    () -> {
                        if (!t.over && !t.gatewayGone()) {
                            outcome.unanswered++;
                            n.left(t);
                        }
                    });
        }
        agenda.after(
                t.requestClass.timeoutMs + 100,
                () -> {
                    if (!t.over) {
                        t.over = true;
                        outcome.unanswered++;
                        oracle.expired(t, agenda.now());
                    }
                });
    }

    /** The final answer of a try, as its client has it. */
    void answer(ClientAttempt t, String answer, double retryAfter) {
        if (answer.equals("passed")) {
            double took = agenda.now() - t.arrived;
            outcome.took.recordValue(Math.min(3_600_000, Math.round(took)));
            if (took > t.requestClass.latencyObjectiveMs) {
                outcome.late++;
            } else if (!t.asked.passed) {
                t.asked.passed = true;
                outcome.passed += t.asked.value * (t.beyond ? t.tenant.plan.overQuotaWeight : 1);
            }
            return;
        }
        if (answer.equals("denied")) {
            outcome.denied++;
        } else {
            outcome.aborted++;
        }
        boolean honours = callers.nextDouble() < s.clients().honour();
        if (answer.equals("denied")) {
            again(t.asked, honours && retryAfter > 0 ? retryAfter : s.clients().backoff());
        }
    }

    private void again(ClientAttempt.Asked asked, double ms) {
        if (asked.tries <= s.clients().retries()) {
            int way = callers.nextInt(asked.customer.fanIn);
            agenda.after(ms, () -> send(asked, way, 1));
        }
    }

    /**
     * The first dispatch of a try leaves: it is inside its quota, and takes its units, or beyond
     * it.
     */
    void sentOn(ClientAttempt t) {
        Tenant c = t.tenant;
        outcome.unitsOn += t.units;
        t.beyond =
                !used.computeIfAbsent(
                                c,
                                k -> new TokenBucket(c.plan.quotaPerMs, c.plan.burst, agenda.now()))
                        .take(t.units, agenda.now());
        if (t.beyond) {
            outcome.unitsBeyond += t.units;
            outcome.beyondCost += t.asked.value * c.plan.overQuotaCost;
        }
    }

    void ran(ClientAttempt t) {
        t.tell(agenda.now(), "ran");
    }

    void reaches(ServerMachine m, ClientAttempt t, ServerMachine.Visit v, boolean told) {
        if (m.up() && oracle.arrives(m, t.work, agenda.now(), told)) {
            m.die();
        }
        m.come(v);
    }

    void counted() {
        outcome.calls++;
    }

    void unanswered() {
        outcome.callsUnanswered++;
    }

    /** Discovery tells each gateway in its own time. */
    @Override
    public void list(ServerMachine m, Server.State state) {
        for (GatewayNode n : nodes) {
            agenda.after(lateness(), () -> n.listed(m, state));
        }
    }

    /** How late one gateway hears of one change. */
    double lateness() {
        return s.net().list_late()
                * (1 - s.net().list_spread() + s.net().list_spread() * wires.nextDouble());
    }

    @Override
    public EventQueue agenda() {
        return agenda;
    }

    @Override
    public CounterStore store() {
        return store;
    }

    @Override
    public double listLate() {
        return s.net().list_late();
    }

    @Override
    public int gateways() {
        return nodes.size();
    }

    @Override
    public void kill(int gateway) {
        nodes.get(gateway).kill();
    }

    @Override
    public void start(int gateway) {
        nodes.get(gateway).start(seeds.nextLong());
    }

    @Override
    public void cutOff(int gateway, boolean on) {
        nodes.get(gateway).cutOff = on;
    }

    @Override
    public void rise(double times) {
        rise = times;
    }

    @Override
    public java.util.Collection<ServerMachine> machines() {
        return machines.values();
    }

    ServerMachine machine(String id) {
        return machines.get(id);
    }

    double tick() {
        return s.tick();
    }

    double oneWay() {
        return s.net().one_way() * (1 + s.net().jitter() * (2 * wires.nextDouble() - 1));
    }

    /**
     * Puts the counter farther away than the servers, as in another region.
     *
     * @param roundTrip what each call on it takes longer, ms
     */
    public void counterAway(double roundTrip) {
        counterAway = roundTrip;
    }

    /** One way between a gateway and the counter. */
    double oneWayToCounter() {
        return oneWay() + counterAway / 2;
    }

    double counterTimeout() {
        return s.counter().timeout();
    }

    DecisionModule make(DecisionModule.Factory maker, long seed, int number) {
        return maker.create(
                seed,
                new GatewayIdentity(
                        number,
                        s.gateways(),
                        s.servers().zones().get(number % s.servers().zones().size()),
                        s.tick()),
                new AttemptLimits(
                        s.rules().max_dispatches(),
                        false,
                        true,
                        false,
                        false,
                        s.rules().max_retry_after()),
                new SlowStartRules(
                        s.servers().cold_from(),
                        s.servers().cold_time(),
                        s.rules().fall_multiple(),
                        s.rules().fall_time()),
                new CounterSettings(
                        s.counter().present(), s.counter().timeout(), s.clients().largest(), false),
                new Objectives(0.7, 0.3),
                false);
    }
}
