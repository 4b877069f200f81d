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
import tinford.api.AttemptLimits;
import tinford.api.CounterSettings;
import tinford.api.DecisionModule;
import tinford.api.DeduplicationScope;
import tinford.api.GatewayIdentity;
import tinford.api.Idempotency;
import tinford.api.Objectives;
import tinford.api.RequestClass;
import tinford.api.Server;
import tinford.api.SlowStartRules;
import tinford.api.Tenant;
import tinford.lab.scenario.Scenario;
import tinford.lab.scenario.Trace;

/** One run: the parties of a scenario, put together, with what goes wrong, from start to end. */
public final class Simulation implements FaultInjector.Ground {
    /** When a run begins, ms: no party's clock begins at nought. */
    public static final double START_MS = 1_000_000;

    private static final double SETTLE_TIMEOUTS =
            2; // times the longest timeout that is waited for the last answers
    private static final double DEAD_GATEWAY_NOTICE_MS =
            2000; // requests that would come to a dead gateway go on coming so long
    final EventQueue events = new EventQueue(START_MS);
    final Oracle oracle;
    final CounterStore store;
    private final Scenario scenario;
    private final RandomStreams randomStreams;
    private final UniformRandomProvider networkRandom;
    private final UniformRandomProvider clientRandom;
    private final UniformRandomProvider gatewaySeeds;
    private final Map<String, ServerMachine> machines = new LinkedHashMap<>();
    private final List<GatewayNode> gateways = new ArrayList<>();
    private final List<RequestClass> requestClasses = new ArrayList<>();
    private final Map<RequestClass, ContinuousSampler> work = new HashMap<>();
    private final TenantPopulation tenants;
    private final Map<Tenant, TokenBucket> offered = new HashMap<>();
    private final Map<Tenant, TokenBucket> used = new HashMap<>();
    private final RunResult outcome;
    private final Trace trace;
    private final List<Trace.Ask> firstRequests = new ArrayList<>();
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
        this.scenario = s;
        this.randomStreams = new RandomStreams(seed);
        this.outcome = new RunResult(seed);
        this.networkRandom = randomStreams.of("wires");
        this.clientRandom = randomStreams.of("callers");
        this.gatewaySeeds = randomStreams.of("gateways");
        this.oracle =
                new Oracle(
                        s.rules().drain_grace(),
                        s.rules().fall_multiple(),
                        s.rules().fall_time(),
                        s.meanWork());
        this.store =
                new CounterStore(
                        events,
                        s.counter().parts(),
                        ZigguratSampler.Exponential.of(
                                randomStreams.of("counter"), s.counter().takes()),
                        s.counter().line());
        UniformRandomProvider speeds = randomStreams.of("speeds");
        for (int i = 0; i < s.servers().count(); i++) {
            double speed =
                    s.servers().speed()
                            * (1 + s.servers().speed_spread() * (2 * speeds.nextDouble() - 1));
            String id = String.format("s%04d", i);
            machines.put(
                    id,
                    new ServerMachine(
                            events,
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
            requestClasses.add(made);
            work.put(made, f.dist().of(randomStreams.of("work " + f.name()), f.work(), f.cv()));
        }
        tenants = new TenantPopulation(s, randomStreams.of("customers"));
        for (int i = 0; i < s.gateways(); i++) {
            gateways.add(new GatewayNode(this, i, maker));
        }
    }

    public RunResult run() {
        for (GatewayNode n : gateways) {
            n.start(gatewaySeeds.nextLong());
        }
        double end = START_MS + scenario.length_s() * 1000;
        double mean = (1 + scenario.clients().largest()) / 2;
        ContinuousSampler gap =
                ZigguratSampler.Exponential.of(
                        randomStreams.of("arrivals"), mean / tenants.unitsPerMs());
        if (trace == null) {
            arrive(gap, randomStreams.of("asked"), end);
        } else {
            replay(0, randomStreams.of("asked"), end);
        }
        UniformRandomProvider faults = randomStreams.of("faults");
        for (Scenario.Fault f : scenario.faults()) {
            events.after(f.at_s() * 1000, () -> FaultInjector.begin(f, this, faults));
        }
        double longest = requestClasses.stream().mapToDouble(f -> f.timeoutMs).max().orElse(0);
        events.run(end);
        double busy = machines.values().stream().mapToDouble(m -> m.busy).sum();
        outcome.load =
                busy
                        / (scenario.length_s()
                                * 1000
                                * scenario.servers().count()
                                * scenario.servers().cores());
        events.run(end + SETTLE_TIMEOUTS * longest);
        outcome.broken = Collections.unmodifiableList(oracle.broken());
        outcome.brokenCount = oracle.count();
        outcome.things = events.done();
        outcome.cold(oracle.cold(), START_MS);
        return outcome;
    }

    private void arrive(ContinuousSampler gap, UniformRandomProvider draw, double end) {
        double next = gap.sample() / rise;
        if (events.now() + next > end) {
            return;
        }
        events.after(
                next,
                () -> {
                    int number = tenants.numberAt(draw.nextDouble());
                    Tenant customer = tenants.get(number);
                    RequestClass frontend = frontend(draw.nextDouble());
                    double units = 1 + draw.nextInt((int) scenario.clients().largest());
                    int way = tenants.way(customer, events.now(), draw);
                    if (tenants.asks(number, events.now(), draw)) {
                        firstRequest(customer, frontend, units, way, draw);
                    }
                    arrive(gap, draw, end);
                });
    }

    private void replay(int i, UniformRandomProvider draw, double end) {
        if (i >= trace.asks().size() || START_MS + trace.asks().get(i).at() > end) {
            return;
        }
        Trace.Ask a = trace.asks().get(i);
        events.after(
                START_MS + a.at() - events.now(),
                () -> {
                    Tenant c = tenants.recorded(a.customer(), a.plan());
                    RequestClass f =
                            requestClasses.stream()
                                    .filter(k -> k.name.equals(a.frontend()))
                                    .findFirst()
                                    .orElseThrow();
                    firstRequest(c, f, a.units(), a.way(), draw);
                    replay(i + 1, draw, end);
                });
    }

    /** The first gateway of a customer that a trace names. */
    public static int first(long customer, int gateways) {
        return TenantPopulation.firstGateway(customer, gateways);
    }

    private void firstRequest(
            Tenant c, RequestClass f, double units, int way, UniformRandomProvider draw) {
        firstRequests.add(
                new Trace.Ask(events.now() - START_MS, c.id, c.plan.name, f.name, units, way));
        boolean inside =
                offered.computeIfAbsent(
                                c,
                                k -> new TokenBucket(c.plan.quotaPerMs, c.plan.burst, events.now()))
                        .take(units, events.now());
        ClientAttempt.Asked first =
                new ClientAttempt.Asked(c, f, units, work.get(f).sample(), inside);
        if (inside) {
            outcome.offered += first.value;
        }
        send(first, way, draw.nextDouble() < scenario.clients().leave() ? draw.nextDouble() : 1);
    }

    /** What was asked for first, after a run. */
    public Trace asked() {
        return new Trace(List.copyOf(firstRequests));
    }

    private RequestClass frontend(double at) {
        double left =
                at * scenario.frontends().stream().mapToDouble(Scenario.Frontend::share).sum();
        for (int i = 0; i < requestClasses.size(); i++) {
            left -= scenario.frontends().get(i).share();
            if (left < 0) {
                return requestClasses.get(i);
            }
        }
        return requestClasses.get(requestClasses.size() - 1);
    }

    /**
     * @param way which of its customer's gateways; {@code stays} the share of its patience that the
     *     client has
     */
    private void send(ClientAttempt.Asked asked, int way, double stays) {
        int at = (asked.customer.firstGateway + way) % gateways.size();
        asked.tries++;
        outcome.tries++;
        GatewayNode n = gateways.get(at);
        if (!n.up) {
            // nobody hears it: the front has not noticed yet
            outcome.unanswered++;
            retry(asked, DEAD_GATEWAY_NOTICE_MS);
            return;
        }
        ClientAttempt t =
                new ClientAttempt(++ids, asked, n::incarnation, events.now(), asked.tries > 1);
        n.requestArrived(t);
        if (stays < 1) {
            events.after(
                    stays * t.requestClass.timeoutMs,
                    () -> {
                        if (!t.over && !t.gatewayGone()) {
                            outcome.unanswered++;
                            n.clientLeft(t);
                        }
                    });
        }
        events.after(
                t.requestClass.timeoutMs + 100,
                () -> {
                    if (!t.over) {
                        t.over = true;
                        outcome.unanswered++;
                        oracle.expired(t, events.now());
                    }
                });
    }

    /** The final answer of a try, as its client has it. */
    void answer(ClientAttempt t, String answer, double retryAfter) {
        if (answer.equals("passed")) {
            double took = events.now() - t.arrived;
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
        boolean honours = clientRandom.nextDouble() < scenario.clients().honour();
        if (answer.equals("denied")) {
            retry(t.asked, honours && retryAfter > 0 ? retryAfter : scenario.clients().backoff());
        }
    }

    private void retry(ClientAttempt.Asked asked, double ms) {
        if (asked.tries <= scenario.clients().retries()) {
            int way = clientRandom.nextInt(asked.customer.fanIn);
            events.after(ms, () -> send(asked, way, 1));
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
                                k -> new TokenBucket(c.plan.quotaPerMs, c.plan.burst, events.now()))
                        .take(t.units, events.now());
        if (t.beyond) {
            outcome.unitsBeyond += t.units;
            outcome.beyondCost += t.asked.value * c.plan.overQuotaCost;
        }
    }

    void ran(ClientAttempt t) {
        t.record(events.now(), "ran");
    }

    void reaches(ServerMachine m, ClientAttempt t, ServerMachine.Visit v, boolean told) {
        if (m.up() && oracle.arrives(m, t.work, events.now(), told)) {
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
        for (GatewayNode n : gateways) {
            events.after(lateness(), () -> n.endpointChanged(m, state));
        }
    }

    /** How late one gateway hears of one change. */
    double lateness() {
        return scenario.net().list_late()
                * (1
                        - scenario.net().list_spread()
                        + scenario.net().list_spread() * networkRandom.nextDouble());
    }

    @Override
    public EventQueue events() {
        return events;
    }

    @Override
    public CounterStore store() {
        return store;
    }

    @Override
    public double listLate() {
        return scenario.net().list_late();
    }

    @Override
    public int gateways() {
        return gateways.size();
    }

    @Override
    public void kill(int gateway) {
        gateways.get(gateway).kill();
    }

    @Override
    public void start(int gateway) {
        gateways.get(gateway).start(gatewaySeeds.nextLong());
    }

    @Override
    public void cutOff(int gateway, boolean on) {
        gateways.get(gateway).disconnectedFromCounter = on;
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
        return scenario.tick();
    }

    double oneWay() {
        return scenario.net().one_way()
                * (1 + scenario.net().jitter() * (2 * networkRandom.nextDouble() - 1));
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
        return scenario.counter().timeout();
    }

    DecisionModule createModule(DecisionModule.Factory maker, long seed, int number) {
        return maker.create(
                seed,
                new GatewayIdentity(
                        number,
                        scenario.gateways(),
                        scenario.servers().zones().get(number % scenario.servers().zones().size()),
                        scenario.tick()),
                new AttemptLimits(
                        scenario.rules().max_dispatches(),
                        false,
                        true,
                        false,
                        false,
                        scenario.rules().max_retry_after()),
                new SlowStartRules(
                        scenario.servers().cold_from(),
                        scenario.servers().cold_time(),
                        scenario.rules().fall_multiple(),
                        scenario.rules().fall_time()),
                new CounterSettings(
                        scenario.counter().present(),
                        scenario.counter().timeout(),
                        scenario.clients().largest(),
                        false),
                new Objectives(0.7, 0.3),
                false);
    }
}
