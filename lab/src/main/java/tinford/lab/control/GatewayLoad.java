package tinford.lab.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.decision.DecisionEngine;
import tinford.fleet.config.Change;
import tinford.fleet.config.Endpoint;
import tinford.fleet.config.PlanRecord;
import tinford.fleet.config.RouteRecord;
import tinford.fleet.config.ServiceRecord;
import tinford.fleet.config.TenantRecord;
import tinford.lab.fleet.FleetBench;
import tinford.lab.fleet.FleetScript;
import tinford.lab.fleet.GatewayProgram;
import tinford.lab.fleet.History;
import tinford.lab.model.Simulation;
import tinford.lab.scenario.Scenario;
import tinford.lab.scenario.Trace;

/** Real gateways that follow the control servers while clients ask them on loopback sockets. */
final class GatewayLoad implements AutoCloseable {
    private static final String SERVICE = "load";
    private static final String SCENARIO = "load.toml";
    private static final String MAIN_CLASS = "tinford.fleet.run.Main";
    private static final int HEAP_MB = 128;
    private static final long POLL_INTERVAL_MS = 250;
    private final int gateways;
    private final Path folder;
    private final Scenario scenario;
    private final Trace trace;
    private final FleetBench bench;
    private CompletableFuture<Map<String, Double>> figures;

    /** Where a gateway reaches the control servers. */
    interface Endpoints {
        List<Endpoint> of(int gateway) throws IOException;
    }

    /**
     * @param seconds how long clients ask
     */
    GatewayLoad(
            int gateways,
            double seconds,
            long seed,
            Classpath program,
            Endpoints endpoints,
            Path folder)
            throws IOException {
        this.gateways = gateways;
        this.folder = folder;
        scenario = scenario(gateways, seconds);
        Simulation drawn = new Simulation(scenario, seed, DecisionEngine::new);
        drawn.run();
        trace = drawn.asked();
        List<String> words = program.java(Classpath.SMALL, HEAP_MB, MAIN_CLASS, "serve");
        GatewayProgram started =
                new GatewayProgram(
                        words,
                        Map.of(),
                        slot ->
                                operatorText(
                                        slot,
                                        Regions.ofFollower(slot.number(), gateways),
                                        endpoints.of(slot.number())),
                        true);
        bench = new FleetBench(withoutFaults(), scenario, started, seed, folder);
    }

    private static Scenario scenario(int gateways, double seconds) throws IOException {
        Map<String, String> set = new LinkedHashMap<>();
        set.put("gateways", Integer.toString(gateways));
        set.put("length_s", Double.toString(seconds));
        try (InputStream in = GatewayLoad.class.getResourceAsStream(SCENARIO)) {
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            return Scenario.of(SCENARIO, text, set);
        } catch (Scenario.Bad e) {
            throw new IOException(e);
        }
    }

    private static FleetScript withoutFaults() throws IOException {
        try {
            return FleetScript.of(SCENARIO, "scenario = \"" + SCENARIO + "\"");
        } catch (Scenario.Bad e) {
            throw new IOException(e);
        }
    }

    static String name(int gateway) {
        return "gateway-" + gateway;
    }

    /** What the control servers' configuration must hold for this load. */
    List<Change> configuration() {
        List<Change> all = new ArrayList<>();
        all.add(new Change.PutService(new ServiceRecord(SERVICE)));
        scenario.frontends().forEach(f -> all.add(new Change.PutRoute(route(f))));
        scenario.plans().forEach(p -> all.add(new Change.PutPlan(plan(p, 1))));
        Map<Long, String> tenants = new TreeMap<>();
        trace.asks().forEach(ask -> tenants.put(ask.customer(), ask.plan()));
        tenants.forEach((id, plan) -> all.add(new Change.PutTenant(new TenantRecord(id, plan))));
        return all;
    }

    /** The plans with a hard ceiling, with all their rates and bursts times a factor. */
    List<PlanRecord> plansWithCeiling(double factor) {
        return scenario.plans().stream()
                .filter(plan -> plan.ceiling() > 0)
                .map(plan -> plan(plan, factor))
                .toList();
    }

    /** Units of the largest request that clients send. */
    double largestRequest() {
        return scenario.clients().largest();
    }

    private static RouteRecord route(Scenario.Frontend f) {
        boolean keyed = f.effect() == Scenario.Effect.IDEMPOTENCY_KEY;
        return new RouteRecord(
                f.name(),
                SERVICE,
                f.target(),
                f.timeout(),
                f.value(),
                0,
                Idempotency.valueOf(f.effect().name()),
                keyed ? DeduplicationScope.CELL : DeduplicationScope.ALL,
                f.repeat_window(),
                false);
    }

    private static PlanRecord plan(Scenario.Plan p, double factor) {
        return new PlanRecord(
                p.name(),
                p.rate() * factor,
                p.burst() * factor,
                p.max_out(),
                p.price(),
                p.beyond_value(),
                p.beyond_cost(),
                p.ceiling() * factor,
                p.ceiling_burst() * factor,
                p.slack());
    }

    private static String operatorText(
            GatewayProgram.GatewaySlot slot, String region, List<Endpoint> servers) {
        String list =
                servers.stream()
                        .map(server -> "\"" + server.region() + "=" + server + "\"")
                        .collect(Collectors.joining(", "));
        return String.join(
                "\n",
                "[overload]",
                "on = false",
                "[configuration]",
                "on = true",
                "fleet = \"" + ControlServers.FLEET_ID + "\"",
                "region = \"" + region + "\"",
                "servers = [" + list + "]",
                "folder = \"" + slot.disk() + "\"",
                "");
    }

    /** Starts the gateways and, once they are ready, the clients. */
    void start() {
        figures =
                CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return bench.run(trace);
                            } catch (IOException | InterruptedException e) {
                                throw new CompletionException(e);
                            }
                        },
                        task -> new Thread(task, "load").start());
    }

    /** The figures of the bench, once the load is over. */
    Map<String, Double> await() {
        return figures.join();
    }

    /** The gateways' processes, by a name for each in the order in which they were started. */
    Map<String, ProcessHandle> processes() {
        List<ProcessHandle> started =
                ProcessHandle.current()
                        .children()
                        .filter(each -> each.info().commandLine().orElse("").contains(MAIN_CLASS))
                        .sorted(Comparator.comparingLong(ProcessHandle::pid))
                        .toList();
        Map<String, ProcessHandle> named = new LinkedHashMap<>();
        started.forEach(each -> named.put(name(named.size()), each));
        return named;
    }

    /** Waits until every gateway holds the revision. */
    void awaitRevision(long revision, double timeoutSeconds)
            throws IOException, InterruptedException {
        long deadline = System.nanoTime() + (long) (timeoutSeconds * 1e9);
        while (holding(revision) < gateways) {
            if (figures.isDone()) {
                figures.join(); // says why the gateways did not start
            }
            if (System.nanoTime() > deadline) {
                throw new IOException(
                        "gateways did not get the configuration, see their logs in " + folder);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
    }

    private long holding(long revision) throws IOException {
        return history().stream()
                .filter(line -> line.kind().equals(Events.APPLIED))
                .filter(line -> line.fields().path(Events.REVISION).asLong() >= revision)
                .map(line -> line.text(Events.FOLLOWER))
                .distinct()
                .count();
    }

    /** What was broken at the clients and the servers. */
    List<String> broken() throws IOException {
        return bench.broken();
    }

    /** All lines, with those of the gateways' configurations as every follower tells them. */
    List<History.Line> history() throws IOException {
        List<History.Line> all = new ArrayList<>();
        for (History.Line line : bench.history()) {
            all.add(line);
            switch (line.kind()) {
                case "started" -> all.add(started(line));
                case "configuration" -> all.add(follower(line, Events.APPLIED));
                case "configuration-refused" -> all.add(follower(line, Events.NOT_APPLIED));
                default -> {}
            }
        }
        return all;
    }

    private History.Line started(History.Line line) {
        ObjectNode fields = line.fields().deepCopy();
        int gateway = line.number("who");
        fields.put(Events.FOLLOWER, name(gateway));
        fields.put(Events.REGION, Regions.ofFollower(gateway, gateways));
        fields.put(Events.DISK, Events.DISK_KEPT);
        return new History.Line(
                line.at(), line.wall(), gateway, line.life(), Events.STARTED, fields);
    }

    private static History.Line follower(History.Line line, String kind) {
        ObjectNode fields = line.fields().deepCopy();
        fields.put(Events.FOLLOWER, name(line.gateway()));
        return new History.Line(line.at(), line.wall(), line.gateway(), line.life(), kind, fields);
    }

    @Override
    public void close() throws IOException {
        bench.close();
    }
}
