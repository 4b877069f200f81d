package tinford.lab.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Processor time and resident memory of processes, once a second, as Linux tells them. */
final class ResourceSampler implements AutoCloseable {
    private static final double TICKS_PER_SECOND = 100; // USER_HZ, fixed in Linux's interface
    private static final int USER_TIME_FIELD = 11; // of /proc/PID/stat, behind the name
    private static final int SYSTEM_TIME_FIELD = 12;
    private final Map<String, ProcessHandle> watched = new ConcurrentHashMap<>();
    private final Map<String, List<Sample>> samples = new ConcurrentHashMap<>();
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "resource sampler");
                        thread.setDaemon(true);
                        return thread;
                    });

    /** At one moment (monotone ms): seconds of processor time so far, and resident bytes. */
    record Sample(double at, long pid, double cpuSeconds, long residentBytes) {}

    /**
     * Over a span of samples.
     *
     * @param cores processor time over time
     * @param worstCores the same over the worst {@code WINDOW} samples
     */
    record Use(double cores, double worstCores, long meanResident, long mostResident) {}

    private static final int WINDOW = 10;

    ResourceSampler() {
        timer.scheduleAtFixedRate(this::sample, 0, 1, TimeUnit.SECONDS);
    }

    /** A process of that name runs from now on; another of the same name before it is over. */
    void watch(String name, ProcessHandle process) {
        watched.put(name, process);
    }

    private void sample() {
        watched.forEach(
                (name, process) -> {
                    try {
                        Sample now = read(process.pid());
                        samples.computeIfAbsent(name, k -> new ArrayList<>()).add(now);
                    } catch (IOException e) {
                        // it has ended: there is nothing to sample
                    }
                });
    }

    static Sample read(long pid) throws IOException {
        Path proc = Path.of("/proc", Long.toString(pid));
        String stat = Files.readString(proc.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        double cpu =
                (Long.parseLong(fields[USER_TIME_FIELD])
                                + Long.parseLong(fields[SYSTEM_TIME_FIELD]))
                        / TICKS_PER_SECOND;
        long resident =
                Files.readAllLines(proc.resolve("status")).stream()
                        .filter(line -> line.startsWith("VmRSS:"))
                        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) * 1024)
                        .findFirst()
                        .orElse(0);
        return new Sample(System.nanoTime() / 1e6, pid, cpu, resident);
    }

    /** What each process used from that moment (monotone ms) to the other. */
    Map<String, Use> uses(double from, double to) {
        Map<String, Use> all = new LinkedHashMap<>();
        samples.keySet().stream()
                .sorted()
                .forEach(
                        name -> {
                            List<Sample> its =
                                    List.copyOf(samples.get(name)).stream()
                                            .filter(s -> s.at >= from && s.at <= to)
                                            .toList();
                            if (its.size() > 1) {
                                all.put(name, use(its));
                            }
                        });
        return all;
    }

    private static Use use(List<Sample> its) {
        double cpu = 0;
        double worst = 0;
        for (int i = 1; i < its.size(); i++) {
            cpu += between(its.get(i - 1), its.get(i));
            int first = Math.max(0, i - WINDOW);
            double span = its.get(i).at - its.get(first).at;
            double inWindow = 0;
            for (int j = first + 1; j <= i; j++) {
                inWindow += between(its.get(j - 1), its.get(j));
            }
            worst = Math.max(worst, i - first == WINDOW ? inWindow * 1000 / span : 0);
        }
        double seconds = (its.get(its.size() - 1).at - its.get(0).at) / 1000;
        return new Use(
                cpu / seconds,
                worst,
                (long) its.stream().mapToLong(Sample::residentBytes).average().orElse(0),
                its.stream().mapToLong(Sample::residentBytes).max().orElse(0));
    }

    /** Processor seconds from one sample to the next, which may be of the process after it. */
    private static double between(Sample earlier, Sample later) {
        return later.pid == earlier.pid ? later.cpuSeconds - earlier.cpuSeconds : later.cpuSeconds;
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
