package tinford.lab.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import tinford.api.Plan;
import tinford.api.Tenant;
import tinford.lab.scenario.Scenario;

/**
 * The customers of a scenario: which plan each has, how much it asks for, when it has a spike, and
 * through which of its gateways it comes.
 */
final class TenantPopulation {
    private static final double MS = 1000;
    private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L; // spreads consecutive numbers

    private final Scenario scenario;
    private final List<Plan> plans;
    private final List<Tenant> drawn = new ArrayList<>();
    private final Map<Long, Tenant> recorded = new HashMap<>();

    /** When a customer's spikes begin, or not a number where it has none. */
    private final double[] phases;

    /** Units a millisecond, summed up to each customer. */
    private final double[] cumulativeRates;

    TenantPopulation(Scenario scenario, UniformRandomProvider draw) {
        this.scenario = scenario;
        this.plans = scenario.plans().stream().map(TenantPopulation::plan).toList();
        this.phases = new double[scenario.clients().customers()];
        this.cumulativeRates = new double[phases.length];
        double sum = 0;
        for (int i = 0; i < phases.length; i++) {
            sum += drawOne(i, draw);
            cumulativeRates[i] = sum;
        }
    }

    private static Plan plan(Scenario.Plan plan) {
        return new Plan(
                plan.name(),
                plan.rate() / MS,
                plan.burst(),
                plan.max_out(),
                plan.price(),
                plan.beyond_value(),
                plan.beyond_cost(),
                plan.ceiling() / MS,
                plan.ceiling_burst(),
                plan.slack());
    }

    /** Adds a customer; returns the units that it asks for a millisecond during its spikes. */
    private double drawOne(int number, UniformRandomProvider draw) {
        Scenario.Clients clients = scenario.clients();
        Plan plan = drawPlan(draw);
        drawn.add(new Tenant(number + 1, plan, clients.spread(), drawFirstGateway(draw)));
        boolean heavy = draw.nextDouble() < clients.heavy();
        double use = heavy ? clients.heavy_times() : clients.use() * 2 * draw.nextDouble();
        boolean spikes = draw.nextDouble() < clients.spiky();
        phases[number] = spikes ? draw.nextDouble() * clients.spike_every_s() * MS : Double.NaN;
        return use * plan.quotaPerMs * (spikes ? clients.spike_times() : 1);
    }

    private Plan drawPlan(UniformRandomProvider draw) {
        List<Scenario.Plan> shares = scenario.plans();
        double at = draw.nextDouble() * shares.stream().mapToDouble(Scenario.Plan::share).sum();
        int k = 0;
        while (k < plans.size() - 1 && at >= shares.get(k).share()) {
            at -= shares.get(k++).share();
        }
        return plans.get(k);
    }

    /**
     * The first gateway of a customer, the first ones drawn more often where clients are uneven.
     */
    private int drawFirstGateway(UniformRandomProvider draw) {
        double uneven = scenario.clients().uneven();
        return uneven == 0
                ? draw.nextInt(scenario.gateways())
                : (int) (scenario.gateways() * Math.pow(draw.nextDouble(), 1 + uneven));
    }

    /** All together, as if every customer that has spikes had one. */
    double unitsPerMs() {
        return cumulativeRates[cumulativeRates.length - 1];
    }

    Tenant get(int number) {
        return drawn.get(number);
    }

    /**
     * The number of a customer, drawn in proportion to what each asks for.
     *
     * @param at from 0 to 1
     */
    int numberAt(double at) {
        double units = at * unitsPerMs();
        int low = 0;
        int high = cumulativeRates.length - 1;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (cumulativeRates[middle] > units) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    /** Whether a drawn request is made: between its spikes most of a customer's are not. */
    boolean asks(int number, double now, UniformRandomProvider draw) {
        Scenario.Clients clients = scenario.clients();
        double phase = phases[number];
        return Double.isNaN(phase)
                || (now + phase) % (clients.spike_every_s() * MS) < clients.spike_s() * MS
                || draw.nextDouble() * clients.spike_times() < 1;
    }

    /**
     * Which of its gateways a request comes through, in an order that changes now and then, each
     * with less of its customer's requests than the one before.
     */
    int way(Tenant customer, double now, UniformRandomProvider draw) {
        double skew = scenario.clients().skew();
        double left =
                draw.nextDouble()
                        * (1 - Math.exp(-skew * customer.fanIn))
                        / (1 - Math.exp(-skew - 1e-12));
        int k = 0;
        for (double weight = 1; k < customer.fanIn - 1 && left >= weight; k++) {
            left -= weight;
            weight *= Math.exp(-skew);
        }
        if (skew == 0) {
            k = draw.nextInt(customer.fanIn);
        }
        long turn = (long) (now / (scenario.clients().shift_s() * MS));
        long shift = (customer.id * 31 + turn) * GOLDEN_RATIO >>> 33;
        return (int) Math.floorMod(k + shift, (long) customer.fanIn);
    }

    /** The customer of a trace, the same for the same id. */
    Tenant recorded(long id, String planName) {
        return recorded.computeIfAbsent(id, any -> makeRecorded(id, planName));
    }

    private Tenant makeRecorded(long id, String planName) {
        Plan plan =
                plans.stream().filter(each -> each.name.equals(planName)).findFirst().orElseThrow();
        int gateway = firstGateway(id, scenario.gateways());
        return new Tenant(id, plan, scenario.clients().spread(), gateway);
    }

    /** The first gateway of a customer that a trace names. */
    static int firstGateway(long customer, int gateways) {
        return (int) Math.floorMod(customer * GOLDEN_RATIO >>> 20, gateways);
    }
}
