package tinford.lab.scale;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.apache.commons.rng.UniformRandomProvider;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.LeaseTable;
import tinford.fleet.store.ReplicatedLog;

/**
 * The renewals of so many gateways in real time, through a real quorum of five in this process: how
 * long an append takes at that pace, how many fail, and the processor time of all five members.
 */
final class RaftRenewalMeasurement implements Measurement {
    private static final int VOTERS = 5;

    /** A gateway looks four times a second, and renews once a third of the lease is over. */
    private static final double RENEWAL_MS = 1500;

    private static final double DURATION_MS = 3000;

    @Override
    public String name() {
        return "log.renewals";
    }

    @Override
    public String sizeUnit() {
        return "gateways";
    }

    @Override
    public int[] sizes(boolean full) {
        return full ? new int[] {5, 100, 530, 1060, 2120} : new int[] {5, 10, 20, 40};
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
    public Sample measure(int gateways, UniformRandomProvider random) throws Exception {
        LongAdder applied = new LongAdder();
        try (RaftQuorum quorum =
                new RaftQuorum(VOTERS, RaftQuorum.BOUNDS, () -> new CountingReader(applied))) {
            quorum.awaitLeader();
            return play(gateways, quorum, random);
        }
    }

    private static Sample play(int gateways, RaftQuorum quorum, UniformRandomProvider random)
            throws InterruptedException {
        List<Renewal> renewals = renewals(gateways, random);
        List<Double> latencies = Collections.synchronizedList(new ArrayList<>());
        LongAdder failures = new LongAdder();
        List<CompletableFuture<?>> under = new ArrayList<>();
        double processorBefore = ProcessorTime.processMs();
        long started = System.nanoTime();
        long bytes = 0;
        for (Renewal renewal : renewals) {
            sleepUntil(started, renewal.atMs());
            byte[] entry =
                    LeaseTable.renewalEntry(
                            renewal.incarnation(), renewal.atMs(), LeaseDeployment.LEASE_MS);
            bytes += entry.length;
            under.add(
                    offer(
                            quorum.member(renewal.incarnation().gateway()),
                            entry,
                            latencies,
                            failures));
        }
        awaitAll(under);
        double processorMs = ProcessorTime.processMs() - processorBefore;
        double elapsedMs = (System.nanoTime() - started) / 1e6;
        Quantiles latency = new Quantiles(latencies);
        return new Sample(
                Map.of(
                        "entries_offered_per_second",
                        1000 * renewals.size() / DURATION_MS,
                        "bytes_offered_per_second",
                        1000 * bytes / DURATION_MS),
                Map.of(
                        "failed_share",
                        failures.doubleValue() / renewals.size(),
                        "p50_ms",
                        latency.at(0.5),
                        "p99_ms",
                        latency.at(0.99),
                        "largest_ms",
                        latency.largest(),
                        "processor_ms_per_entry",
                        processorMs / renewals.size(),
                        "core_share",
                        processorMs / elapsedMs));
    }

    private record Renewal(double atMs, Incarnation incarnation) {}

    /** Each gateway's first at a time drawn within one interval, the others at that pace. */
    private static List<Renewal> renewals(int gateways, UniformRandomProvider random) {
        List<Renewal> renewals = new ArrayList<>();
        for (Incarnation incarnation : LeaseDeployment.incarnations(gateways, 0)) {
            double first = random.nextDouble() * RENEWAL_MS;
            for (double at = first; at < DURATION_MS; at += RENEWAL_MS) {
                renewals.add(new Renewal(at, incarnation));
            }
        }
        renewals.sort((a, b) -> Double.compare(a.atMs(), b.atMs()));
        return renewals;
    }

    private static CompletableFuture<?> offer(
            ReplicatedLog log, byte[] entry, List<Double> latencies, LongAdder failures) {
        long offered = System.nanoTime();
        return log.append(entry)
                .whenComplete(
                        (index, failure) -> {
                            if (failure == null) {
                                latencies.add((System.nanoTime() - offered) / 1e6);
                            } else {
                                failures.increment();
                            }
                        });
    }

    private static void sleepUntil(long startedNanos, double atMs) throws InterruptedException {
        long left = startedNanos + (long) (atMs * 1e6) - System.nanoTime();
        if (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
        }
    }

    private static void awaitAll(List<CompletableFuture<?>> all) {
        for (CompletableFuture<?> each : all) {
            each.exceptionally(failure -> null).join();
        }
    }
}
