package tinford.lab.sockets;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.function.DoubleConsumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.api.Plan;
import tinford.api.RequestClass;
import tinford.api.Server;
import tinford.lab.model.CounterStore;
import tinford.lab.model.EventQueue;
import tinford.lab.model.FaultInjector;
import tinford.lab.model.Oracle;
import tinford.lab.model.RandomStreams;
import tinford.lab.model.ServerMachine;
import tinford.lab.scenario.Scenario;
import tinford.lab.scenario.Trace;

/**
 * A scenario on loopback sockets: real gateways, and stand-ins of servers, counter and discovery
 * that hold the model's own machines and store, under the open load of a trace.
 */
public final class SocketBench implements FaultInjector.Ground, AutoCloseable {
    /** From when all gateways are ready until the first request, ms. */
    private static final double LEAD = 200;

    private static final double SECOND = 1000;
    private static final int CELLS = 8;

    private final Scenario scenario;
    private final BenchContext context;
    private final WallClockEventQueue live;
    private final UniformRandomProvider faults;
    private final RequestRecords records;
    private final CounterStore store;
    private final Map<String, ServerStandIn> servers = new LinkedHashMap<>();
    private final DiscoveryStandIn discovery;
    private final List<BenchGateway> gateways = new ArrayList<>();
    private final ClientLoad clients;
    private DoubleConsumer begun = from -> {};

    /**
     * @param jar of the gateway; {@code folder} for configurations and logs
     */
    public SocketBench(Scenario s, long seed, Path jar, Path folder) throws IOException {
        this(s, seed, List.of("-cp", jar.toString(), "tinford.Main", "serve"), folder);
    }

    /**
     * @param program what java is to run as a gateway
     */
    SocketBench(Scenario s, long seed, List<String> program, Path folder) throws IOException {
        this(s, seed, directly(program), folder);
    }

    /**
     * @param between starts the gateways, and stands between them and all others
     */
    public SocketBench(Scenario s, long seed, BenchInterceptor between, Path folder)
            throws IOException {
        scenario = s;
        context = new BenchContext(s, between, folder);
        live = context.live;
        RandomStreams streams = new RandomStreams(seed);
        faults = streams.of("faults");
        store =
                new CounterStore(
                        live.agenda(),
                        s.counter().parts(),
                        ZigguratSampler.Exponential.of(streams.of("counter"), s.counter().takes()),
                        s.counter().line());
        Oracle oracle =
                new Oracle(
                        s.rules().drain_grace(),
                        s.rules().fall_multiple(),
                        s.rules().fall_time(),
                        s.meanWork());
        records = new RequestRecords(live, oracle);
        addServers(streams);
        discovery = new DiscoveryStandIn(context, servers.values());
        for (int number = 0; number < s.gateways(); number++) {
            gateways.add(new BenchGateway(context, records, store, number, discovery.port(number)));
        }
        clients = new ClientLoad(context, records, gateways, plans(s), frontends(s));
    }

    /** Gateways that nothing stands between. */
    private static BenchInterceptor directly(List<String> program) {
        return (gateway, config, log) -> {
            List<String> words = new ArrayList<>(BenchInterceptor.JAVA);
            words.addAll(program);
            ProcessBuilder builder = new ProcessBuilder(words);
            builder.environment().put("ROUTER_CONFIG", config.toString());
            return builder.redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
        };
    }

    private static Map<String, Plan> plans(Scenario scenario) {
        Map<String, Plan> plans = new HashMap<>();
        for (Scenario.Plan plan : scenario.plans()) {
            plans.put(
                    plan.name(),
                    new Plan(
                            plan.name(),
                            plan.rate() / SECOND,
                            plan.burst(),
                            plan.max_out(),
                            plan.price(),
                            plan.beyond_value(),
                            plan.beyond_cost(),
                            plan.ceiling() / SECOND,
                            plan.ceiling_burst(),
                            plan.slack()));
        }
        return plans;
    }

    private static Map<String, RequestClass> frontends(Scenario scenario) {
        Map<String, RequestClass> frontends = new HashMap<>();
        for (Scenario.Frontend frontend : scenario.frontends()) {
            frontends.put(
                    frontend.name(),
                    new RequestClass(
                            frontend.name(),
                            frontend.target(),
                            frontend.timeout(),
                            frontend.value(),
                            0,
                            Idempotency.valueOf(frontend.effect().name()),
                            DeduplicationScope.CELL,
                            frontend.repeat_window(),
                            false));
        }
        return frontends;
    }

    private void addServers(RandomStreams streams) throws IOException {
        Map<String, ContinuousSampler> work = new HashMap<>();
        for (Scenario.Frontend frontend : scenario.frontends()) {
            String name = frontend.name();
            work.put(
                    name,
                    frontend.dist().of(streams.of("work " + name), frontend.work(), frontend.cv()));
        }
        UniformRandomProvider speeds = streams.of("speeds");
        for (int i = 0; i < scenario.servers().count(); i++) {
            ServerMachine machine = machine(i, speeds);
            servers.put(machine.id, new ServerStandIn(context, records, work, machine));
        }
    }

    private ServerMachine machine(int number, UniformRandomProvider speeds) {
        Scenario.Servers all = scenario.servers();
        double speed = all.speed() * (1 + all.speed_spread() * (2 * speeds.nextDouble() - 1));
        return new ServerMachine(
                live.agenda(),
                String.format("s%04d", number),
                all.zones().get(number % all.zones().size()),
                number % CELLS,
                all.cores(),
                all.room(),
                speed,
                all.cold_from(),
                all.cold_time());
    }

    /** Plays the trace to its end; the figures have the model's names. */
    public Map<String, Double> run(Trace trace) throws IOException, InterruptedException {
        for (BenchGateway gateway : gateways) {
            gateway.start();
        }
        for (BenchGateway gateway : gateways) {
            gateway.awaitReady();
        }
        double from = live.now() + LEAD;
        begun.accept(from);
        scenario.faults().forEach(fault -> live.post(() -> set(fault, from)));
        Map<String, Double> figures = new TreeMap<>(clients.play(trace, from));
        CountDownLatch read = new CountDownLatch(1);
        live.post(
                () -> {
                    figures.put("beyond_units", records.beyondPart());
                    figures.put("calls_a_try", store.calls / clients.tries());
                    figures.put("rules_broken", records.rulesBroken());
                    read.countDown();
                });
        read.await();
        return figures;
    }

    private void set(Scenario.Fault fault, double from) {
        double after = from - live.now() + fault.at_s() * SECOND;
        live.agenda().after(after, () -> FaultInjector.begin(fault, this, faults));
    }

    /** Clients whose request was denied come again so many times; none do unless this says so. */
    public void retries(int most) {
        clients.maxRetries(most);
    }

    /**
     * @param what is told, once all gateways are ready, when (by the agenda) the first request is
     *     due
     */
    public void onBegin(DoubleConsumer what) {
        begun = what;
    }

    /** What goes wrong happens on the thread of the agenda. */
    public void post(Runnable what) {
        live.post(what);
    }

    /**
     * The gateway has closed its end of the connection that comes to a server from that port; its
     * dispatch counts as given up.
     */
    public void left(int port) {
        live.post(() -> records.connectionGivenUp(port));
    }

    /** A new connection will come to a server from that port. */
    public void comes(int port) {
        live.post(() -> records.connectionComes(port));
    }

    /** A gateway stands still, or goes on: it owes no answer to what overlaps. */
    public void paused(int gateway, boolean on) {
        gateways.get(gateway).paused(on);
    }

    /** A planned end, by SIGTERM; what crosses it is not owed. */
    public void end(int gateway) {
        gateways.get(gateway).terminate();
    }

    /** The rules that were broken, each with the story of a request. */
    public List<String> broken() {
        return records.broken();
    }

    @Override
    public EventQueue events() {
        return live.agenda();
    }

    @Override
    public Collection<ServerMachine> machines() {
        return servers.values().stream().map(ServerStandIn::machine).toList();
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
    public void list(ServerMachine machine, Server.State state) {
        live.agenda()
                .after(
                        listLate(),
                        () -> {
                            ServerStandIn server = servers.get(machine.id);
                            server.announce(state);
                            discovery.changed(server);
                        });
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
        context.pool.execute(
                () -> {
                    try {
                        gateways.get(gateway).start();
                        gateways.get(gateway).awaitReady();
                    } catch (IOException e) {
                        records.strange(
                                "gateway " + gateway + " does not start again: " + e.getMessage());
                    }
                });
    }

    @Override
    public void cutOff(int gateway, boolean on) {
        gateways.get(gateway).cutOffCounter(on);
    }

    @Override
    public void rise(double times) {
        // the trace says when requests come: what is risen there has risen here
    }

    @Override
    public void close() throws IOException {
        for (BenchGateway gateway : gateways) {
            gateway.close();
        }
        discovery.close();
        context.close();
        for (ServerStandIn server : servers.values()) {
            server.close();
        }
    }
}
