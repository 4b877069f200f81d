package tinford.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.apache.commons.rng.UniformRandomProvider;
import tinford.fleet.store.ReplicatedLog;

/** The replicated log by the number of its voters: messages, pace and processor time of appends. */
final class RaftAppendMeasurement implements Measurement {
    private static final int ENTRY_BYTES = 200;
    private static final int ONE_BY_ONE = 100;
    private static final int IN_FLIGHT = 60;
    private static final int BURST_ENTRIES = 1200;
    private static final long IDLE_MS = 1000;
    private static final long APPLY_WAIT_MS = 10_000;

    @Override
    public String name() {
        return "log.appends";
    }

    @Override
    public String sizeUnit() {
        return "voters";
    }

    @Override
    public int[] sizes(boolean full) {
        return full ? new int[] {3, 5, 7, 9, 15} : new int[] {1, 2, 3, 4};
    }

    @Override
    public int repetitions() {
        return 3;
    }

    @Override
    public Growth expected() {
        return Growth.LINEAR;
    }

    @Override
    public Sample measure(int voters, UniformRandomProvider random) throws Exception {
        LongAdder applied = new LongAdder();
        byte[] entry = new byte[ENTRY_BYTES];
        long started = System.nanoTime();
        try (RaftQuorum quorum =
                new RaftQuorum(
                        voters, RaftQuorum.PATIENT_BOUNDS, () -> new CountingReader(applied))) {
            ReplicatedLog leader = quorum.awaitLeader();
            appendOne(leader, entry);
            double firstAppendMs = millisSince(started);
            Idle idle = idle();
            OneByOne oneByOne = oneByOne(leader, entry);
            Burst burst = burst(leader, entry);
            long entries = 1 + ONE_BY_ONE + BURST_ENTRIES;
            awaitApplied(applied, entries * voters);
            return new Sample(
                    Map.of("copies_per_entry", (double) applied.sum() / entries),
                    Map.ofEntries(
                            Map.entry("first_append_ms", firstAppendMs),
                            Map.entry("heartbeats_per_second", idle.heartbeatsPerSecond()),
                            Map.entry("idle_core_share", idle.coreShare()),
                            Map.entry("requests_per_entry", oneByOne.requestsPerEntry()),
                            Map.entry("one_by_one_per_second", oneByOne.perSecond()),
                            Map.entry("p50_ms", oneByOne.latency().at(0.5)),
                            Map.entry("p99_ms", oneByOne.latency().at(0.99)),
                            Map.entry("processor_ms_per_entry", oneByOne.processorMsPerEntry()),
                            Map.entry("in_flight_60_per_second", burst.perSecond()),
                            Map.entry(
                                    "in_flight_60_processor_ms_per_entry",
                                    burst.processorMsPerEntry())));
        }
    }

    private record Idle(double heartbeatsPerSecond, double coreShare) {}

    private record OneByOne(
            double perSecond,
            Quantiles latency,
            double requestsPerEntry,
            double processorMsPerEntry) {}

    private record Burst(double perSecond, double processorMsPerEntry) {}

    /** What the quorum costs while nobody appends. */
    private static Idle idle() throws InterruptedException {
        RaftTraffic before = RaftTraffic.now();
        double processorBefore = ProcessorTime.processMs();
        long started = System.nanoTime();
        Thread.sleep(IDLE_MS);
        double elapsedMs = millisSince(started);
        RaftTraffic sent = RaftTraffic.now().since(before);
        double processorMs = ProcessorTime.processMs() - processorBefore;
        return new Idle(
                1000 * (sent.appends() + sent.heartbeats()) / elapsedMs, processorMs / elapsedMs);
    }

    private static OneByOne oneByOne(ReplicatedLog leader, byte[] entry) throws Exception {
        List<Double> latencies = new ArrayList<>();
        RaftTraffic before = RaftTraffic.now();
        double processorBefore = ProcessorTime.processMs();
        long started = System.nanoTime();
        for (int i = 0; i < ONE_BY_ONE; i++) {
            long offered = System.nanoTime();
            appendOne(leader, entry);
            latencies.add(millisSince(offered));
        }
        double elapsedMs = millisSince(started);
        RaftTraffic sent = RaftTraffic.now().since(before);
        double processorMs = ProcessorTime.processMs() - processorBefore;
        return new OneByOne(
                1000 * ONE_BY_ONE / elapsedMs,
                new Quantiles(latencies),
                (double) (sent.appends() + sent.heartbeats()) / ONE_BY_ONE,
                processorMs / ONE_BY_ONE);
    }

    private static Burst burst(ReplicatedLog leader, byte[] entry) throws Exception {
        double processorBefore = ProcessorTime.processMs();
        long started = System.nanoTime();
        Semaphore inFlight = new Semaphore(IN_FLIGHT);
        List<CompletableFuture<Long>> acknowledged = new ArrayList<>();
        for (int i = 0; i < BURST_ENTRIES; i++) {
            inFlight.acquire();
            CompletableFuture<Long> append = leader.append(entry);
            append.whenComplete((index, failure) -> inFlight.release());
            acknowledged.add(append);
        }
        for (CompletableFuture<Long> each : acknowledged) {
            each.get(RaftQuorum.APPEND_WAIT_MS, TimeUnit.MILLISECONDS);
        }
        double elapsedMs = millisSince(started);
        double processorMs = ProcessorTime.processMs() - processorBefore;
        return new Burst(1000 * BURST_ENTRIES / elapsedMs, processorMs / BURST_ENTRIES);
    }

    private static void appendOne(ReplicatedLog leader, byte[] entry) throws Exception {
        leader.append(entry).get(RaftQuorum.APPEND_WAIT_MS, TimeUnit.MILLISECONDS);
    }

    private static void awaitApplied(LongAdder applied, long expected) throws Exception {
        long deadline = System.currentTimeMillis() + APPLY_WAIT_MS;
        while (applied.sum() < expected && System.currentTimeMillis() < deadline) {
            Thread.sleep(5);
        }
    }

    private static double millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1e6;
    }
}
