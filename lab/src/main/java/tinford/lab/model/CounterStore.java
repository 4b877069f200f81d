package tinford.lab.model;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import tinford.api.AttemptOutcome;

/** The counter: numbers by name, each kept for a time, on parts that serve their calls in turn. */
public final class CounterStore {
    private final EventQueue events;
    private final Part[] parts;
    private final ContinuousSampler takes;
    private final int most;
    private double slower = 1;
    private boolean silent;
    public long calls;

    private final class Part {
        final Map<Long, double[]> held = new HashMap<>(); // total, until
        final ArrayDeque<Runnable> line = new ArrayDeque<>();
        boolean busy;

        void next() {
            Runnable call = line.poll();
            busy = call != null;
            if (busy) {
                events.after(
                        takes.sample() * slower,
                        () -> {
                            call.run();
                            next();
                        });
            }
        }
    }

    /**
     * @param most calls that wait at one part
     */
    public CounterStore(EventQueue agenda, int parts, ContinuousSampler takes, int most) {
        this.events = agenda;
        this.parts = new Part[parts];
        for (int i = 0; i < parts; i++) {
            this.parts[i] = new Part();
        }
        this.takes = takes;
        this.most = most;
    }

    /**
     * @param then hears of the end, and the total; never, while the counter is silent
     */
    public void add(
            long name, double amount, double keep, BiConsumer<AttemptOutcome, Double> then) {
        calls++;
        if (silent) {
            return;
        }
        Part p =
                parts[
                        (int)
                                Long.remainderUnsigned(
                                        name * 0x9E3779B97F4A7C15L >>> 17, parts.length)];
        if (p.line.size() >= most) {
            then.accept(AttemptOutcome.OVERLOADED, 0.0);
            return;
        }
        p.line.add(
                () -> {
                    double[] had = p.held.get(name);
                    if (had == null || had[1] < events.now()) {
                        had = new double[] {0, events.now() + Math.min(60_000, keep)};
                        p.held.put(name, had);
                    }
                    had[0] += amount;
                    double total = had[0];
                    if (!silent) {
                        then.accept(AttemptOutcome.SUCCESS, total);
                    }
                });
        if (!p.busy) {
            p.next();
        }
    }

    /** How many names are held now. */
    public long held() {
        return Arrays.stream(parts)
                .flatMap(p -> p.held.values().stream())
                .filter(entry -> entry[1] >= events.now())
                .count();
    }

    public void silence(boolean on) {
        silent = on;
    }

    public void empty() {
        for (Part p : parts) {
            p.held.clear();
        }
    }

    public void slow(double times) {
        slower = times;
    }
}
