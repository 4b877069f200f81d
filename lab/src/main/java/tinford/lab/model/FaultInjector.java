package tinford.lab.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import tinford.api.Server;
import tinford.lab.scenario.Scenario;

/** What goes wrong, done to a model or to stand-ins on sockets alike. */
public final class FaultInjector {
    private static final double DOWN = 1000; // what starts anew in steps
    private static final double DRAINS = 2000; // from the word that it drains to its end

    private FaultInjector() {}

    /** What faults are done to. */
    public interface Ground {
        EventQueue events();

        Collection<ServerMachine> machines();

        CounterStore store();

        double listLate();

        /** Discovery tells the gateways. */
        void list(ServerMachine m, Server.State state);

        int gateways();

        void kill(int gateway);

        void start(int gateway);

        /** From the counter. */
        void cutOff(int gateway, boolean on);

        void rise(double times);
    }

    public static void begin(Scenario.Fault f, Ground on, UniformRandomProvider draw) {
        double ms = f.for_s() * 1000;
        EventQueue agenda = on.events();
        switch (f.kind()) {
            case SERVERS_DIE ->
                    some(on.machines(), f.part(), draw).forEach(m -> restart(m, ms, on));
            case SERVERS_ROLL ->
                    steps(
                            some(on.machines(), f.part(), draw),
                            f,
                            agenda,
                            m -> restart(m, DOWN, on));
            case SERVERS_SLOW ->
                    some(on.machines(), f.part(), draw)
                            .forEach(
                                    m -> {
                                        m.slow(f.size());
                                        agenda.after(ms, () -> m.slow(1));
                                    });
            case SERVERS_HANG ->
                    some(on.machines(), f.part(), draw)
                            .forEach(
                                    m -> {
                                        m.hang(true);
                                        agenda.after(ms, () -> m.hang(false));
                                    });
            case FLEET_SHRINKS -> {
                List<ServerMachine> gone = some(on.machines(), f.part(), draw);
                for (int i = 0; i < gone.size(); i++) {
                    ServerMachine m = gone.get(i);
                    agenda.after(
                            ms * i / gone.size(),
                            () -> {
                                on.list(m, Server.State.DRAINING);
                                agenda.after(
                                        DRAINS + on.listLate(),
                                        () -> {
                                            on.list(m, Server.State.REMOVED);
                                            m.die();
                                        });
                            });
                }
            }
            case COUNTER_SILENT -> {
                on.store().silence(true);
                agenda.after(
                        ms,
                        () -> {
                            on.store().silence(false);
                            if (f.size() > 0) {
                                on.store().empty();
                            }
                        });
            }
            case COUNTER_SLOW -> {
                on.store().slow(f.size());
                agenda.after(ms, () -> on.store().slow(1));
            }
            case COUNTER_SPLIT ->
                    some(numbers(on), f.part(), draw)
                            .forEach(
                                    n -> {
                                        on.cutOff(n, true);
                                        agenda.after(ms, () -> on.cutOff(n, false));
                                    });
            case GATEWAYS_DIE ->
                    some(numbers(on), f.part(), draw)
                            .forEach(
                                    n -> {
                                        on.kill(n);
                                        agenda.after(ms, () -> on.start(n));
                                    });
            case GATEWAYS_ROLL ->
                    steps(
                            some(numbers(on), f.part(), draw),
                            f,
                            agenda,
                            n -> {
                                on.kill(n);
                                agenda.after(DOWN, () -> on.start(n));
                            });
            case LOAD_RISES -> {
                on.rise(f.size());
                agenda.after(ms, () -> on.rise(1));
            }
            default -> throw new IllegalArgumentException("fault without a play: " + f.kind());
        }
    }

    /** It is down for a time, and back cold. */
    private static void restart(ServerMachine m, double ms, Ground on) {
        m.die();
        on.events()
                .after(
                        ms,
                        () -> {
                            m.start();
                            on.list(m, Server.State.UP);
                        });
    }

    private static <T> void steps(
            List<T> all, Scenario.Fault f, EventQueue agenda, Consumer<T> each) {
        int steps = (int) f.size();
        for (int i = 0; i < steps; i++) {
            List<T> some = all.subList(all.size() * i / steps, all.size() * (i + 1) / steps);
            agenda.after(f.for_s() * 1000 * i / steps, () -> some.forEach(each));
        }
    }

    private static List<Integer> numbers(Ground on) {
        return IntStream.range(0, on.gateways()).boxed().toList();
    }

    private static <T> List<T> some(Collection<T> all, double part, UniformRandomProvider draw) {
        List<T> mixed = new ArrayList<>(all);
        ListSampler.shuffle(draw, mixed);
        return mixed.subList(0, Math.max(1, (int) Math.round(part * mixed.size())));
    }
}
