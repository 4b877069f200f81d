package tinford.lab.scale;

import java.util.List;
import tinford.lab.model.Distribution;
import tinford.lab.model.RunResult;
import tinford.lab.model.Simulation;
import tinford.lab.scenario.Scenario;
import tinford.lab.study.Versions;

/**
 * The deployment in virtual time at a part of its size, with its proportions kept: servers, tenants
 * and requests a gateway. A builder: each setter changes the model and gives it back.
 */
final class ScaleFleetModel {
    static final int DEPLOYED_GATEWAYS = 530;
    static final int DEPLOYED_SERVERS = 6_000;
    static final int DEPLOYED_TENANTS = 14_000;
    static final int DEPLOYED_ROUTES = 1_500;
    static final double DEPLOYED_REQUESTS_A_SECOND = 130_000;

    /** At the peak, of one gateway. */
    static final double PEAK_REQUESTS = DEPLOYED_REQUESTS_A_SECOND / DEPLOYED_GATEWAYS;

    /** The share of the servers' cores that is in use at the peak, in percent. */
    static final int PEAK_LOAD = 60;

    /** So short that a turn adds nothing: a real gateway's turns begin when something comes. */
    private static final double SHORT_TICK_MS = 0.05;

    /** Of a counter that has room for far more calls than come. */
    private static final double QUICK_CALL_MS = 0.02;

    private static final int CORES = 4;
    private static final double MEAN_WORK_MS = 138;
    private static final double LARGEST_REQUEST = 4;
    private static final double MEAN_UNITS = (1 + LARGEST_REQUEST) / 2;

    /** Of its quota, what a tenant asks for on the mean over all tenants. */
    private static final double USE = 0.4;

    private static final double HEAVY_SHARE = 0.08;
    private static final double HEAVY_USE = 2.5;
    private static final double SPIKY_SHARE = 0.2;
    private static final double SPIKE_TIMES = 5;
    private static final double SPIKE_SECONDS = 2;
    private static final double SPIKE_EVERY_SECONDS = 16;
    private static final double LARGE_PLAN_SHARE = 0.3;
    private static final double LARGE_PLAN_TIMES = 4;

    private final int gateways;
    private int servers;
    private int tenants;
    private double requestsASecond = PEAK_REQUESTS;
    private int width;
    private boolean ceilings = true;
    private double counterTimeoutMs = 80;
    private double counterAwayMs;
    private double tickMs = SHORT_TICK_MS;
    private boolean counter = true;
    private int counterParts = 64;
    private double counterCallMs = QUICK_CALL_MS;
    private double warmUpSeconds = 5;
    private double seconds = 10;
    private List<Scenario.Fault> faults = List.of();

    /** At the deployment's proportions and its peak, for so many gateways. */
    ScaleFleetModel(int gateways) {
        this.gateways = gateways;
        this.servers = proportion(gateways, DEPLOYED_SERVERS);
        this.tenants = proportion(gateways, DEPLOYED_TENANTS);
        this.width = Math.min(3, gateways);
    }

    private static int proportion(int gateways, int deployed) {
        return (int) Math.max(1, Math.round((double) gateways * deployed / DEPLOYED_GATEWAYS));
    }

    /**
     * @param percent of the servers' cores that the requests inside quotas take
     */
    ScaleFleetModel load(double percent) {
        return requests(PEAK_REQUESTS * percent / PEAK_LOAD);
    }

    /**
     * @param aSecond at each gateway
     */
    ScaleFleetModel requests(double aSecond) {
        requestsASecond = aSecond;
        return this;
    }

    ScaleFleetModel servers(int count) {
        servers = count;
        return this;
    }

    ScaleFleetModel tenants(int count) {
        tenants = count;
        return this;
    }

    /**
     * @param gatewaysATenant how many gateways each tenant comes through
     */
    ScaleFleetModel width(int gatewaysATenant) {
        width = gatewaysATenant;
        return this;
    }

    /** No plan has a hard ceiling. */
    ScaleFleetModel withoutCeilings() {
        ceilings = false;
        return this;
    }

    /**
     * @param roundTripMs that the counter is farther away than the servers
     */
    ScaleFleetModel counterAway(double roundTripMs) {
        counterAwayMs = roundTripMs;
        return this;
    }

    /** Nothing is counted: all requests are inside. */
    ScaleFleetModel withoutCounter() {
        counter = false;
        return this;
    }

    /**
     * @param ms between the turns of a gateway
     */
    ScaleFleetModel tick(double ms) {
        tickMs = ms;
        return this;
    }

    /**
     * @param percent of what the counter can do that one call a request comes to
     */
    ScaleFleetModel counterLoad(double percent) {
        counterParts = 1;
        counterCallMs = percent / 100 * 1000 / (requestsASecond * gateways);
        return this;
    }

    /**
     * @param warmUp seconds that are played before anything is measured
     */
    ScaleFleetModel seconds(double warmUp, double measured) {
        warmUpSeconds = warmUp;
        seconds = measured;
        return this;
    }

    ScaleFleetModel faults(Scenario.Fault... all) {
        faults = List.of(all);
        return this;
    }

    int gateways() {
        return gateways;
    }

    int servers() {
        return servers;
    }

    double warmUpSeconds() {
        return warmUpSeconds;
    }

    double seconds() {
        return seconds;
    }

    /** A world of this model, with its listeners in place; it has not run yet. */
    Simulation world(long seed, DecisionListener... listeners) {
        Simulation world =
                new Simulation(
                        scenario(),
                        seed,
                        new ObservedDecisions(Versions.here(), List.of(listeners)));
        world.counterAway(counterAwayMs);
        return world;
    }

    RunResult run(long seed, DecisionListener... listeners) {
        return world(seed, listeners).run();
    }

    Scenario scenario() {
        return new Scenario(
                warmUpSeconds + seconds,
                tickMs,
                gateways,
                new Scenario.Net(0.5, 0.3, 1500, 0.5, 250),
                new Scenario.Servers(servers, CORES, 40, 1, 0.3, List.of("a"), 0.3, 10_000),
                new Scenario.Counter(
                        counter, counterParts, counterCallMs, 100_000, counterTimeoutMs),
                frontends(),
                plans(),
                new Scenario.Clients(
                        tenants,
                        width,
                        1,
                        12,
                        USE,
                        HEAVY_SHARE,
                        HEAVY_USE,
                        SPIKY_SHARE,
                        SPIKE_TIMES,
                        SPIKE_SECONDS,
                        SPIKE_EVERY_SECONDS,
                        0,
                        0,
                        0,
                        0.01,
                        LARGEST_REQUEST,
                        0),
                new Scenario.Rules(250, 2, 1000, 3, 2000),
                faults);
    }

    private static List<Scenario.Frontend> frontends() {
        return List.of(
                new Scenario.Frontend(
                        "read",
                        0.8,
                        MEAN_WORK_MS,
                        Distribution.LOGNORMAL,
                        0.8,
                        1500,
                        6000,
                        1,
                        Scenario.Effect.IDEMPOTENT,
                        0),
                new Scenario.Frontend(
                        "post",
                        0.2,
                        MEAN_WORK_MS,
                        Distribution.EXPONENTIAL,
                        1,
                        2000,
                        8000,
                        3,
                        Scenario.Effect.IDEMPOTENCY_KEY,
                        10_000));
    }

    /** Quotas such that the tenants' drawn use comes to the requests asked for. */
    private List<Scenario.Plan> plans() {
        double spikes =
                SPIKE_TIMES * SPIKE_SECONDS / SPIKE_EVERY_SECONDS
                        + 1
                        - SPIKE_SECONDS / SPIKE_EVERY_SECONDS;
        double use =
                ((1 - HEAVY_SHARE) * USE + HEAVY_SHARE * HEAVY_USE)
                        * (1 - SPIKY_SHARE + SPIKY_SHARE * spikes);
        double units = requestsASecond * gateways * MEAN_UNITS;
        double meanRate = units / tenants / use;
        double small = meanRate / (1 + LARGE_PLAN_SHARE * (LARGE_PLAN_TIMES - 1));
        double large = LARGE_PLAN_TIMES * small;
        double ceiling = ceilings ? 2 * large : 0;
        return List.of(
                new Scenario.Plan(
                        "small",
                        1 - LARGE_PLAN_SHARE,
                        small,
                        Math.max(2 * LARGEST_REQUEST, 4 * small),
                        0,
                        1,
                        0.2,
                        0.2,
                        0,
                        0,
                        0),
                new Scenario.Plan(
                        "large",
                        LARGE_PLAN_SHARE,
                        large,
                        Math.max(2 * LARGEST_REQUEST, 2 * large),
                        0,
                        1.5,
                        0,
                        0.8,
                        ceiling,
                        ceilings ? Math.max(width * LARGEST_REQUEST, ceiling) : 0,
                        LARGEST_REQUEST));
    }
}
