package tinford.lab.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import tinford.lab.model.FaultInjector;
import tinford.lab.model.ServerMachine;

/**
 * Does the faults of a script to a model or to processes alike. Called on the thread of the
 * ground's agenda.
 */
public final class FaultScriptRunner {
    private final FaultInjector.Ground ground;
    private final Fleet fleet;
    private final UniformRandomProvider draw;

    /**
     * What a model of a fleet, and a fleet of processes, can suffer beside what {@link
     * Faults.Ground} has.
     */
    public interface Fleet {
        void pause(int gateway, boolean on);

        /** By plan. */
        void end(int gateway);

        /** Its disk is put aside, for a restart with an old one. */
        void copyDisk(int gateway);

        /** While it is dead. */
        void disk(int gateway, FleetScript.Disk found);

        void links(
                FleetScript.Fault f, Collection<Integer> who, Collection<Integer> to, boolean on);

        void servers(
                FleetScript.Fault f, Collection<Integer> who, Collection<String> which, boolean on);

        void counter(FleetScript.Fault f, Collection<Integer> who, boolean on);

        void tell(String kind, Object... fields);
    }

    public FaultScriptRunner(FaultInjector.Ground ground, Fleet fleet, UniformRandomProvider draw) {
        this.ground = ground;
        this.fleet = fleet;
        this.draw = draw;
    }

    /**
     * @param from when the script begins, by the agenda
     */
    public void set(FleetScript script, double from) {
        for (FleetScript.Fault f : script.faults()) {
            double after = from - ground.events().now() + f.at_s() * 1000;
            if (f.kind() == FleetScript.Kind.GATEWAY_RESTARTED
                    && f.disk() == FleetScript.Disk.OLD) {
                ground.events()
                        .after(
                                Math.max(0, after - f.size() * 1000),
                                () -> f.who().forEach(fleet::copyDisk));
            }
            ground.events().after(after, () -> begin(f));
        }
    }

    private void begin(FleetScript.Fault f) {
        fleet.tell("fault", "what", f.kind().name(), "gateways", f.who(), "to", f.to());
        Collection<Integer> who =
                f.who().isEmpty()
                        ? IntStream.range(0, ground.gateways()).boxed().toList()
                        : f.who();
        Collection<Integer> to =
                f.to().isEmpty() ? IntStream.range(0, ground.gateways()).boxed().toList() : f.to();
        switch (f.kind()) {
            case LINK_SLOW, LINK_LOSSY, LINK_CUT -> {
                fleet.links(f, who, to, true);
                later(f, () -> fleet.links(f, who, to, false));
            }
            case GATEWAY_KILLED, GATEWAY_RESTARTED -> {
                who.forEach(ground::kill);
                later(
                        f,
                        () ->
                                who.forEach(
                                        g -> {
                                            fleet.disk(g, f.disk());
                                            ground.start(g);
                                        }));
            }
            case GATEWAY_ENDED -> {
                who.forEach(fleet::end);
                later(f, () -> who.forEach(ground::start));
            }
            case GATEWAY_PAUSED -> {
                who.forEach(g -> fleet.pause(g, true));
                later(f, () -> who.forEach(g -> fleet.pause(g, false)));
            }
            case SERVERS_CUT -> {
                List<String> which =
                        new ArrayList<>(
                                ground.machines().stream().map((ServerMachine m) -> m.id).toList());
                if (f.part() > 0) {
                    ListSampler.shuffle(draw, which);
                    which =
                            which.subList(
                                    0, Math.max(1, (int) Math.round(f.part() * which.size())));
                }
                List<String> cut = List.copyOf(which);
                fleet.servers(f, who, cut, true);
                later(f, () -> fleet.servers(f, who, cut, false));
            }
            case COUNTER_CUT -> {
                fleet.counter(f, who, true);
                later(f, () -> fleet.counter(f, who, false));
            }
            default -> FaultInjector.begin(f.ofScenario(), ground, draw);
        }
    }

    private void later(FleetScript.Fault f, Runnable heal) {
        if (f.for_s() > 0) {
            ground.events()
                    .after(
                            f.for_s() * 1000,
                            () -> {
                                fleet.tell(
                                        "healed",
                                        "what",
                                        f.kind().name(),
                                        "gateways",
                                        f.who(),
                                        "to",
                                        f.to());
                                heal.run();
                            });
        }
    }
}
