package tinford.lab.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.api.Plan;
import tinford.api.Request;
import tinford.api.RequestClass;
import tinford.api.Tenant;

/**
 * A strain in virtual time: half of the servers are lost for {@link #LOST_MS}, clients of what is
 * denied or fails come back. The gateways are simpler than the decisions, and what is compared is
 * their view of the load alone.
 */
public final class OverloadSimulation {
    /** Which view of the load gateways have. */
    public enum Mode {
        /** Each sees what comes to itself. */
        ALONE,
        /** Records of 100 to 500 ms of age, one in ten lost. */
        GOSSIP,
        /** The view is that of the fleet, and no record of another gateway comes through. */
        CUT
    }

    static final int SERVERS = 20;
    static final double UNITS_PER_MS = 0.15; // that a server works off
    static final double LATENCY_MS = 30;
    static final double TARGET_MS = 500;
    static final double LOSS_AT_MS = 8000;
    static final double LOST_MS = 10_000;
    static final double RETURN_AT_MS = LOSS_AT_MS + LOST_MS;
    static final double END_MS = 32_000;

    /** Requests asked for this long after the loss and later count. */
    static final double COUNT_AFTER_MS = 1000;

    static final double[] WORTHS = {0.5, 1, 2, 4, 8};
    private static final double STEP_MS = 10;
    private static final double LOAD = 0.8; // of all servers
    private static final int LARGEST_UNITS = 4;
    private static final double MEAN_UNITS = (1 + LARGEST_UNITS) / 2.0;

    /** The last gateway has (1 + SKEW) / (1 - SKEW) times the traffic of the first. */
    private static final double SKEW = 0.6;

    private final Random random;
    private final int gatewayCount;
    private final Mode mode;
    private final double windowMs;
    private final List<SimulatedServer> servers = new ArrayList<>();
    private final List<SimulatedGateway> gateways = new ArrayList<>();
    private final List<Integer> gatewayNumbers = new ArrayList<>();
    private final List<RequestClass> frontends = new ArrayList<>();
    private final Tenant customer = new Tenant(1, new Plan("p", 0, 0, 0, 1, 1, 0, 0, 0, 0), 1, 0);
    private final OverloadFigures figures = new OverloadFigures();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Event::at).thenComparingLong(Event::number));
    private double now;
    private long numbers;

    private record Event(double at, long number, Runnable action) {}

    /**
     * @param windowMs over which the fleet's view looks back
     */
    public OverloadSimulation(long seed, int gateways, Mode mode, double windowMs) {
        this.random = new Random(seed);
        this.gatewayCount = gateways;
        this.mode = mode;
        this.windowMs = windowMs;
    }

    static boolean isStrained(double now) {
        return now >= LOSS_AT_MS && now < RETURN_AT_MS;
    }

    /** Plays it, once. */
    public OverloadResult run() {
        prepare();
        double requestsPerMs = LOAD * SERVERS * UNITS_PER_MS / MEAN_UNITS;
        int sequence = 0;
        for (now = 0; now < END_MS; now += STEP_MS) {
            loseOrReturnServers();
            runEvents();
            for (SimulatedGateway gateway : gateways) {
                gateway.step(sequence);
            }
            int arrivals = (int) (requestsPerMs * STEP_MS + random.nextDouble());
            for (int i = 0; i < arrivals; i++) {
                ask();
            }
            sequence++;
        }
        return figures.result(gateways);
    }

    private void prepare() {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new SimulatedServer(i));
        }
        for (int i = 0; i < gatewayCount; i++) {
            gateways.add(new SimulatedGateway(this, i, gatewayCount));
            gatewayNumbers.add(i);
        }
        for (double worth : WORTHS) {
            frontends.add(frontend(worth));
        }
    }

    private static RequestClass frontend(double worth) {
        return new RequestClass(
                "f" + worth,
                TARGET_MS,
                2 * TARGET_MS,
                worth,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false);
    }

    private void loseOrReturnServers() {
        for (int i = 0; i < SERVERS; i += 2) {
            servers.get(i).lost = isStrained(now);
        }
    }

    private void runEvents() {
        while (!events.isEmpty() && events.peek().at() <= now) {
            events.poll().action().run();
        }
    }

    /** Which worth comes through which gateway is as uneven as how much. */
    private void ask() {
        double place = random.nextDouble();
        int number = (int) (gatewayCount * (place * (1 - SKEW) + place * place * SKEW));
        // low numbers see more of what is worth most
        double exponent = 0.75 + 0.5 * number / gatewayCount;
        int kind = (int) (WORTHS.length * Math.pow(random.nextDouble(), exponent));
        long id = numbers++;
        int units = 1 + random.nextInt(LARGEST_UNITS);
        Request drawn =
                new Request(id, frontends.get(kind), customer, now + 2 * TARGET_MS, units, false);
        boolean counts = now >= LOSS_AT_MS + COUNT_AFTER_MS && now < RETURN_AT_MS;
        SimulatedRequest request = new SimulatedRequest(drawn, WORTHS[kind], 0, counts, now);
        SimulatedGateway gateway = gateways.get(number);
        figures.asked(request, kind, gateway, now);
        gateway.arrive(request);
    }

    void later(double delayMs, Runnable action) {
        events.add(new Event(now + delayMs, numbers++, action));
    }

    double now() {
        return now;
    }

    Random random() {
        return random;
    }

    Mode mode() {
        return mode;
    }

    double windowMs() {
        return windowMs;
    }

    List<SimulatedServer> servers() {
        return servers;
    }

    List<SimulatedGateway> gateways() {
        return gateways;
    }

    List<Integer> gatewayNumbers() {
        return gatewayNumbers;
    }

    OverloadFigures figures() {
        return figures;
    }
}
