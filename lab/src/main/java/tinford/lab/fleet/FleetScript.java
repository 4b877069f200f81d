package tinford.lab.fleet;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import tinford.lab.scenario.Scenario;

/**
 * A fleet under faults: a scenario, and what goes wrong by time and place, for model and processes
 * alike.
 *
 * @param scenario its file, from where the script lies; {@code set} values in place of the file's
 * @param offer connections that each server offers, 0 where no promise is made
 * @param further dispatches over first ones, of these, while strained; 0 where no promise is made
 * @param groups of servers, dealt out in turn; none for one
 * @param tries at an ill server a second; 0 where no promise is made
 * @param idle how long a server keeps a connection with nothing in it, ms; 0 for 15,000
 */
public record FleetScript(
        String scenario,
        Map<String, String> set,
        int offer,
        double further,
        double tries,
        double idle,
        List<String> groups,
        List<Fault> faults) {
    /** What can go wrong: with the links and the gateways, and all that a scenario knows. */
    public enum Kind {
        /** From gateways {@code who} to gateways {@code to}: delay, jitter, rate. */
        LINK_SLOW,
        /** loss, doubled, reordered. */
        LINK_LOSSY,
        LINK_CUT,
        GATEWAY_KILLED,
        GATEWAY_PAUSED,
        /**
         * Killed, and started again after for_s with its disk kept, lost or old (as it was {@code
         * size} s before).
         */
        GATEWAY_RESTARTED,
        /** SIGTERM, and started again after for_s. */
        GATEWAY_ENDED,
        SERVERS_CUT,
        COUNTER_CUT,
        SERVERS_DIE,
        SERVERS_SLOW,
        SERVERS_HANG,
        FLEET_SHRINKS,
        COUNTER_SILENT,
        COUNTER_SLOW,
        COUNTER_SPLIT,
        GATEWAYS_DIE,
        LOAD_RISES
    }

    /** What a gateway finds of its disk. */
    public enum Disk {
        KEPT,
        LOST,
        OLD
    }

    /**
     * @param for_s until it is healed, or the gateway is started again; 0 for never
     * @param who gateways by number, none for all; {@code to} the others of a link, none for all
     * @param part of the servers, as the scenario's; {@code size} as the scenario's, and the age in
     *     s of an old disk
     * @param both ways, else only that from {@code who}; {@code refused} new connections are,
     *     instead of hanging
     * @param delay and {@code jitter} in ms, {@code rate} in bytes a ms; {@code loss}, {@code
     *     doubled}, {@code reordered} are shares
     */
    public record Fault(
            Kind kind,
            double at_s,
            double for_s,
            List<Integer> who,
            List<Integer> to,
            double part,
            double size,
            boolean both,
            boolean refused,
            Disk disk,
            double delay,
            double jitter,
            double rate,
            double loss,
            double doubled,
            double reordered) {
        public Fault {
            who = who == null ? List.of() : List.copyOf(who);
            to = to == null ? List.of() : List.copyOf(to);
            disk = disk == null ? Disk.KEPT : disk;
        }

        Impairment impairment() {
            boolean cuts =
                    kind == Kind.LINK_CUT || kind == Kind.SERVERS_CUT || kind == Kind.COUNTER_CUT;
            return cuts
                    ? Impairment.cut(refused)
                    : new Impairment(false, false, delay, jitter, rate, loss, doubled, reordered);
        }

        /** As a scenario has it, or null where a scenario knows no such kind. */
        Scenario.Fault ofScenario() {
            for (Scenario.Kind k : Scenario.Kind.values()) {
                if (k.name().equals(kind.name())) {
                    return new Scenario.Fault(k, at_s, for_s, part, size);
                }
            }
            return null;
        }
    }

    public FleetScript {
        set = set == null ? Map.of() : Map.copyOf(set);
        groups = groups == null ? List.of() : List.copyOf(groups);
        faults = faults == null ? List.of() : List.copyOf(faults);
    }

    public static FleetScript read(Path file) throws Scenario.Bad {
        try {
            return of(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new Scenario.Bad(file + ": expected a file that can be read");
        }
    }

    public static FleetScript of(String name, String text) throws Scenario.Bad {
        FleetScript s;
        try {
            s =
                    TomlMapper.builder()
                            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                            .build()
                            .readValue(text, FleetScript.class);
        } catch (JsonMappingException e) {
            throw new Scenario.Bad(
                    name
                            + ": "
                            + Scenario.place(e)
                            + ": expected another value: "
                            + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (JacksonException e) {
            throw new Scenario.Bad(
                    name
                            + ": line "
                            + (e.getLocation() == null ? "?" : e.getLocation().getLineNr())
                            + ": expected TOML: "
                            + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
        if (s == null || s.scenario == null) {
            throw new Scenario.Bad(name + ": scenario: expected the name of a file");
        }
        return s;
    }

    /**
     * The scenario with so many gateways, and without its own faults: what goes wrong is the
     * script's.
     */
    public Scenario scenario(Path near, int gateways) throws Scenario.Bad {
        Map<String, String> all = new java.util.LinkedHashMap<>(set);
        all.put("gateways", Integer.toString(gateways));
        Scenario s = Scenario.read(near.resolveSibling(scenario), all);
        check(near.toString(), s.length_s(), gateways);
        return new Scenario(
                s.length_s(),
                s.tick(),
                s.gateways(),
                s.net(),
                s.servers(),
                s.counter(),
                s.frontends(),
                s.plans(),
                s.clients(),
                s.rules(),
                List.of());
    }

    /** What only makes sense for so many gateways and so long a run. */
    public void check(String name, double length, int gateways) throws Scenario.Bad {
        for (int i = 0; i < faults.size(); i++) {
            Fault f = faults.get(i);
            String at = name + ": faults[" + i + "]";
            that(at + ".kind", f.kind != null, "one of " + List.of(Kind.values()));
            that(at + ".at_s", f.at_s >= 0 && f.at_s <= length, "a number from 0 to " + length);
            that(at + ".for_s", f.for_s >= 0 && f.for_s < 1e6, "a number from 0 to 1000000");
            for (int n : f.who) {
                that(at + ".who", n >= 0 && n < gateways, "numbers below " + gateways);
            }
            for (int n : f.to) {
                that(at + ".to", n >= 0 && n < gateways, "numbers below " + gateways);
            }
            that(at + ".part", f.part >= 0 && f.part <= 1, "a number from 0 to 1");
            for (double share : new double[] {f.loss, f.doubled, f.reordered}) {
                that(at, share >= 0 && share <= 1, "loss, doubled and reordered from 0 to 1");
            }
            for (double more : new double[] {f.delay, f.jitter, f.rate, f.size}) {
                that(at, more >= 0 && more < 1e9, "delay, jitter, rate and size of 0 or more");
            }
            that(
                    at + ".who",
                    !f.kind.name().startsWith("GATEWAY_") || !f.who.isEmpty(),
                    "the numbers of gateways");
            boolean takes =
                    f.ofScenario() != null
                            && f.kind != Kind.COUNTER_SILENT
                            && f.kind != Kind.COUNTER_SLOW
                            && f.kind != Kind.LOAD_RISES;
            that(at + ".part", !takes || f.part > 0, "some part of the nodes: it names none");
            that(at + ".for_s", f.ofScenario() == null || f.for_s > 0, "a number above 0");
        }
    }

    private static void that(String key, boolean holds, String expected) throws Scenario.Bad {
        if (!holds) {
            throw new Scenario.Bad(key + ": expected " + expected);
        }
    }
}
