package tinford.lab.scale;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import tinford.api.AttemptOutcome;
import tinford.api.Request;
import tinford.api.Server;

/**
 * Tells apart where the time goes between the arrival of a request at a gateway and its first
 * dispatch. Requests that were never dispatched are not in it.
 */
final class FirstDispatchTimes implements DecisionListener {
    /** Where a request waits. */
    enum Part {
        /** For the gateway's next turn. */
        TURN,
        /** For the answer of the counter. */
        COUNTER,
        /** In the gateway's line, while its tenant's ceiling has no room at this gateway. */
        CEILING,
        /** In the gateway's line, for room at the servers. */
        ROOM,
        /** All of them. */
        TOTAL
    }

    /** The decisions wait no longer for the counter than this part of a request's target ... */
    private static final double MAX_COUNTER_WAIT = 0.05;

    /** ... and look at it this often. */
    private static final double COUNTER_WAIT_TICK_MS = 50;

    private static final double MICROS = 1000;
    private static final long LONGEST_MICROS = 60_000_000;
    private final double from;
    private final Map<Integer, GatewayState> states = new HashMap<>();
    private final Map<Part, Histogram> histograms = new EnumMap<>(Part.class);
    private final List<double[]> samples = new ArrayList<>();

    /**
     * @param from requests that arrived before are left out
     */
    FirstDispatchTimes(double from) {
        this.from = from;
        for (Part part : Part.values()) {
            histograms.put(part, new Histogram(LONGEST_MICROS, 3));
        }
    }

    /** A request that waits for its first dispatch. */
    private static final class Wait {
        final double arrivedAt;
        final double turnAt;
        double countedAt = Double.NaN;
        int openCalls;
        boolean called;

        Wait(double arrivedAt, double turnAt) {
            this.arrivedAt = arrivedAt;
            this.turnAt = turnAt;
        }
    }

    /** What is open at one gateway. */
    private static final class GatewayState {
        final double startedAt;
        final Map<Request, Wait> waits = new IdentityHashMap<>();
        final Map<Long, ArrayDeque<Wait>> calls = new HashMap<>();
        final Map<Long, CeilingSlice> ceilings = new HashMap<>();
        final Wait unobserved = new Wait(0, 0); // stands for what belongs to no request
        Wait current = unobserved;

        GatewayState(double startedAt) {
            this.startedAt = startedAt;
        }
    }

    @Override
    public void started(int gateway, double now) {
        states.put(gateway, new GatewayState(now));
    }

    @Override
    public void arriving(int gateway, Request request, double now) {
        GatewayState state = states.get(gateway);
        state.current = new Wait(request.deadlineMs - request.requestClass.timeoutMs, now);
        state.waits.put(request, state.current);
    }

    @Override
    public void arrived(int gateway, Request request, double now) {
        GatewayState state = states.get(gateway);
        state.current = state.unobserved;
    }

    @Override
    public void calledCounter(int gateway, long name, double amount, double keepMs, double now) {
        GatewayState state = states.get(gateway);
        boolean gaveBack = amount < 0; // units of a request that is over
        Wait wait = gaveBack ? state.unobserved : state.current;
        state.calls.computeIfAbsent(name, key -> new ArrayDeque<>(2)).add(wait);
        wait.called = true;
        wait.openCalls++;
    }

    @Override
    public void counting(int gateway, long name, AttemptOutcome end, double total, double now) {
        GatewayState state = states.get(gateway);
        ArrayDeque<Wait> queue = state.calls.get(name);
        Wait wait = queue == null ? null : queue.poll();
        if (queue != null && queue.isEmpty()) {
            state.calls.remove(name);
        }
        if (wait == null) {
            return;
        }
        wait.openCalls--;
        if (wait.openCalls == 0) {
            wait.countedAt = now;
        }
        state.current = wait;
    }

    @Override
    public void counted(int gateway, double now) {
        GatewayState state = states.get(gateway);
        state.current = state.unobserved;
    }

    @Override
    public void dropped(int gateway, Request request, double now) {
        states.get(gateway).waits.remove(request);
    }

    @Override
    public void dispatched(int gateway, Request request, Server server, double now) {
        GatewayState state = states.get(gateway);
        Wait wait = state.waits.remove(request);
        if (wait == null) {
            return; // a further dispatch
        }
        double decidedAt = decidedAt(wait, request, now);
        double ceilingAt = decidedAt;
        if (request.tenant.plan.hardLimitPerMs > 0) {
            CeilingSlice slice =
                    state.ceilings.computeIfAbsent(
                            request.tenant.id,
                            id -> new CeilingSlice(request.tenant, state.startedAt));
            ceilingAt = Math.min(now, Math.max(decidedAt, slice.roomSince(request.units)));
            slice.take(request.units, now);
        }
        if (wait.arrivedAt >= from) {
            record(wait, decidedAt, ceilingAt, now);
        }
    }

    /** When the counter had said all that the decisions waited for. */
    private static double decidedAt(Wait wait, Request request, double now) {
        if (!wait.called) {
            return wait.turnAt;
        }
        if (wait.openCalls == 0) {
            return wait.countedAt;
        }
        double counterWaitMs =
                MAX_COUNTER_WAIT * request.requestClass.latencyObjectiveMs + COUNTER_WAIT_TICK_MS;
        return Math.min(now, wait.turnAt + counterWaitMs);
    }

    private void record(Wait wait, double decidedAt, double ceilingAt, double now) {
        double[] sample = new double[Part.values().length];
        sample[Part.TURN.ordinal()] = wait.turnAt - wait.arrivedAt;
        sample[Part.COUNTER.ordinal()] = decidedAt - wait.turnAt;
        sample[Part.CEILING.ordinal()] = ceilingAt - decidedAt;
        sample[Part.ROOM.ordinal()] = now - ceilingAt;
        sample[Part.TOTAL.ordinal()] = now - wait.arrivedAt;
        for (Part part : Part.values()) {
            long micros = Math.round(sample[part.ordinal()] * MICROS);
            histograms.get(part).recordValue(Math.min(LONGEST_MICROS, micros));
        }
        samples.add(sample);
    }

    /** How many first dispatches were seen. */
    int count() {
        return samples.size();
    }

    /** In milliseconds. */
    double percentile(Part part, double percent) {
        return histograms.get(part).getValueAtPercentile(percent) / MICROS;
    }

    /** In milliseconds. */
    double mean(Part part) {
        return histograms.get(part).getMean() / MICROS;
    }

    /** The share of the requests that waited longer in this part than so many milliseconds. */
    double shareAbove(Part part, double ms) {
        long above = samples.stream().filter(sample -> sample[part.ordinal()] > ms).count();
        return samples.isEmpty() ? 0 : (double) above / samples.size();
    }

    /**
     * The mean time in a part, of those requests whose whole wait is at or above a percentile of
     * all whole waits: percentiles of parts don't add up, these means do.
     */
    double meanOfSlowest(Part part, double percent) {
        double least = percentile(Part.TOTAL, percent);
        return samples.stream()
                .filter(sample -> sample[Part.TOTAL.ordinal()] >= least * (1 - 1e-3))
                .mapToDouble(sample -> sample[part.ordinal()])
                .average()
                .orElse(0);
    }
}
