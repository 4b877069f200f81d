package tinford.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import tinford.lab.scale.configuration.ConfigurationState;
import tinford.lab.scale.configuration.ConfigurationStates;
import tinford.lab.scale.count.Cost;
import tinford.lab.scale.count.LiveHeap;

/**
 * What a configuration costs whoever holds it (control server or gateway, off the I/O thread), by
 * tenants, with routes and services in the deployment's proportion: one change, all of it, its
 * snapshot, its heap. Counted columns come from a second copy of the classes with counting woven
 * in; copies of arrays are not among them, but among the bytes allocated.
 */
public final class ConfigurationStateMeasurements {
    private static final int[] TENANTS_FULL = {1_750, 3_500, 7_000, 14_000};
    private static final int[] TENANTS_SMALL = {280, 560, 1_120, 2_240};
    private static final int REPETITIONS = 5;

    /** Times are the median of so many. */
    private static final int TIMED_ROUNDS = 15;

    private ConfigurationStateMeasurements() {}

    /** All of this area. */
    public static List<Measurement> all() {
        return List.of(
                new ByTenants("configuration.state.change", ConfigurationStateMeasurements::change),
                new ByTenants("configuration.state.whole", ConfigurationStateMeasurements::whole),
                new ByTenants(
                        "configuration.state.snapshot", ConfigurationStateMeasurements::snapshot),
                new ByTenants("configuration.state.heap", ConfigurationStateMeasurements::heap));
    }

    /** Takes one sample. */
    private interface Play {
        Sample sample(int tenants) throws Exception;
    }

    private record ByTenants(String name, Play play) implements Measurement {
        @Override
        public String sizeUnit() {
            return "tenants";
        }

        @Override
        public int[] sizes(boolean full) {
            return (full ? TENANTS_FULL : TENANTS_SMALL).clone();
        }

        @Override
        public int repetitions() {
            return REPETITIONS;
        }

        @Override
        public Sample measure(int size, UniformRandomProvider random) throws Exception {
            return play.sample(size);
        }

        @Override
        public Growth expected() {
            return Growth.N_LOG_N;
        }
    }

    private static Sample change(int tenants) throws Exception {
        ConfigurationState counted = ConfigurationStates.counted(tenants);
        Map<String, Double> operations = new TreeMap<>();
        operations.put("operations", operations(counted::changeTenant));
        operations.put("operations_plan_removal", operations(counted::removePlan));
        operations.put("update_line_bytes", (double) counted.updateLineBytes());
        ConfigurationState timed = ConfigurationStates.timed(tenants);
        Map<String, Double> times = new TreeMap<>();
        addTimes(times, "change", median(timed::changeTenant));
        addTimes(times, "plan_removal", median(timed::removePlan));
        return new Sample(operations, times);
    }

    private static Sample whole(int tenants) throws Exception {
        ConfigurationState counted = ConfigurationStates.counted(tenants);
        ConfigurationState timed = ConfigurationStates.timed(tenants);
        Map<String, Double> times = new TreeMap<>();
        addTimes(times, "validation", median(timed::validateWhole));
        return new Sample(Map.of("operations", operations(counted::validateWhole)), times);
    }

    private static Sample snapshot(int tenants) throws Exception {
        ConfigurationState counted = ConfigurationStates.counted(tenants);
        ConfigurationState timed = ConfigurationStates.timed(tenants);
        byte[] snapshot = timed.encodeSnapshot();
        Map<String, Double> operations = new TreeMap<>();
        operations.put("snapshot_bytes", (double) snapshot.length);
        operations.put("operations_encode", operations(counted::encodeSnapshot));
        operations.put("operations_decode", operations(() -> counted.decodeSnapshot(snapshot)));
        Map<String, Double> times = new TreeMap<>();
        addTimes(times, "encode", median(timed::encodeSnapshot));
        addTimes(times, "decode", median(() -> timed.decodeSnapshot(snapshot)));
        return new Sample(operations, times);
    }

    /** Of a configuration that came as a snapshot, as a follower holds it. */
    private static Sample heap(int tenants) throws Exception {
        ConfigurationState state = ConfigurationStates.timed(tenants);
        byte[] snapshot = state.encodeSnapshot();
        LiveHeap before = LiveHeap.now();
        state.decodeSnapshot(snapshot);
        LiveHeap held = LiveHeap.now().since(before);
        state.validateWhole();
        return new Sample(
                Map.of("live_bytes", (double) held.bytes(), "objects", (double) held.objects()),
                Map.of());
    }

    private static double operations(Runnable work) {
        return Cost.of(work).operations();
    }

    private static void addTimes(Map<String, Double> times, String name, Cost cost) {
        times.put(name + "_millis", cost.millis());
        times.put(name + "_allocated_bytes", (double) cost.allocatedBytes());
    }

    private static Cost median(Runnable work) {
        List<Cost> costs = new ArrayList<>();
        for (int i = 0; i < TIMED_ROUNDS; i++) {
            costs.add(Cost.of(work));
        }
        costs.sort((a, b) -> Long.compare(a.nanos(), b.nanos()));
        return costs.get(TIMED_ROUNDS / 2);
    }
}
