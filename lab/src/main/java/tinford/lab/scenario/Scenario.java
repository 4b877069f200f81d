package tinford.lab.scenario;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import tinford.lab.model.Distribution;

/**
 * A world to be tried: sizes, load, parties, and what goes wrong. Times are milliseconds unless the
 * name ends in _s.
 */
public record Scenario(
        double length_s,
        double tick,
        int gateways,
        Net net,
        Servers servers,
        Counter counter,
        List<Frontend> frontends,
        List<Plan> plans,
        Clients clients,
        Rules rules,
        List<Fault> faults) {

    /**
     * @param list_spread the part of {@code list_late} over which gateways hear of a change apart
     */
    public record Net(
            double one_way,
            double jitter,
            double list_late,
            double list_spread,
            double connect_timeout) {}

    /**
     * The servers: how many, their size, speed and zones, and how they behave after a cold start.
     */
    public record Servers(
            int count,
            int cores,
            int room,
            double speed,
            double speed_spread,
            List<String> zones,
            double cold_from,
            double cold_time) {}

    /** The shared counter: its capacity, queue and time-out. */
    public record Counter(boolean present, int parts, double takes, int line, double timeout) {}

    /** A class of requests and what it is worth. */
    public record Frontend(
            String name,
            double share,
            double work,
            Distribution dist,
            double cv,
            double target,
            double timeout,
            double value,
            Effect effect,
            double repeat_window) {}

    /** What a repeated request may do at a server. */
    public enum Effect {
        IDEMPOTENT,
        IDEMPOTENCY_KEY,
        NON_IDEMPOTENT
    }

    /** A quota plan. */
    public record Plan(
            String name,
            double share,
            double rate,
            double burst,
            int max_out,
            double price,
            double beyond_value,
            double beyond_cost,
            double ceiling,
            double ceiling_burst,
            double slack) {}

    /**
     * @param use of their quotas that customers make, in the mean; {@code heavy} of them ask {@code
     *     heavy_times} theirs; {@code spiky} of them ask {@code spike_times} as much as else for
     *     {@code spike_s} out of every {@code spike_every_s}
     * @param skew how unevenly a customer's requests come through its gateways: each has e to the
     *     minus this of the one before; which one is the first is drawn anew every {@code shift_s}
     * @param uneven how unevenly customers lie over the gateways: of n the first is the first of n
     *     to the minus 1 / (1 + this) of them
     */
    public record Clients(
            int customers,
            int spread,
            double skew,
            double shift_s,
            double use,
            double heavy,
            double heavy_times,
            double spiky,
            double spike_times,
            double spike_s,
            double spike_every_s,
            int retries,
            double honour,
            double backoff,
            double leave,
            double largest,
            double uneven) {}

    /** The limits that every gateway must keep. */
    public record Rules(
            double drain_grace,
            double fall_multiple,
            double fall_time,
            int max_dispatches,
            double max_retry_after) {}

    /**
     * @param part of the nodes that it takes; {@code size} what it means is with its kind
     */
    public record Fault(Kind kind, double at_s, double for_s, double part, double size) {}

    /** What can go wrong. */
    public enum Kind {
        /** Servers die together, and come back cold. */
        SERVERS_DIE,
        /** Servers take {@code size} times as long. */
        SERVERS_SLOW,
        /** Servers work and answer nothing. */
        SERVERS_HANG,
        /** Servers drain, one after the other over the time, and are gone 2 s after. */
        FLEET_SHRINKS,
        /** The counter says nothing; at the end it is back, empty if {@code size} is above 0. */
        COUNTER_SILENT,
        /** The counter takes {@code size} times as long. */
        COUNTER_SLOW,
        /** Gateways are cut off from the counter. */
        COUNTER_SPLIT,
        /** Gateways are killed, and come back with nothing but their last list. */
        GATEWAYS_DIE,
        /**
         * Servers start anew in {@code size} steps over the time, each down 1 s, and come back
         * cold.
         */
        SERVERS_ROLL,
        /**
         * Gateways start anew in {@code size} steps over the time, each down 1 s, with their last
         * list.
         */
        GATEWAYS_ROLL,
        /** Customers ask {@code size} times as much. */
        LOAD_RISES
    }

    /** What is wrong with a scenario: file, place, and what was expected. */
    public static final class Bad extends Exception {
        private static final long serialVersionUID = 1L;

        public Bad(String message) {
            super(message);
        }
    }

    /** Of a request, over all frontends. */
    public double meanWork() {
        double shares = frontends.stream().mapToDouble(Frontend::share).sum();
        return frontends.stream().mapToDouble(f -> f.share * f.work).sum() / shares;
    }

    public static Scenario read(Path file) throws Bad {
        return read(file, Map.of());
    }

    public static Scenario read(Path file, Map<String, String> changes) throws Bad {
        try {
            return of(file.toString(), Files.readString(file), changes);
        } catch (IOException e) {
            throw new Bad(file + ": expected a file that can be read");
        }
    }

    public static Scenario of(String name, String text) throws Bad {
        return of(name, text, Map.of());
    }

    /**
     * @param changes values in place of those in the file, by key: {@code servers.count}, {@code
     *     plans.small.rate}, {@code faults.0.size}
     */
    public static Scenario of(String name, String text, Map<String, String> changes) throws Bad {
        TomlMapper toml =
                TomlMapper.builder()
                        .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                        .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                        .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                        .build();
        Scenario s;
        try {
            JsonNode tree = toml.readTree(text);
            for (Map.Entry<String, String> c : changes.entrySet()) {
                change(name, tree, c.getKey(), c.getValue());
            }
            s = toml.treeToValue(tree, Scenario.class);
        } catch (UnrecognizedPropertyException e) {
            throw new Bad(
                    name
                            + ": "
                            + place(e)
                            + ": expected no such key; known are "
                            + e.getKnownPropertyIds());
        } catch (JsonMappingException e) {
            String said = e.getOriginalMessage().lines().findFirst().orElse("");
            throw new Bad(
                    name
                            + ": "
                            + place(e)
                            + ": expected "
                            + (said.startsWith("Missing creator property")
                                    ? "a value; there is none"
                                    : "another value: " + said));
        } catch (JacksonException e) {
            throw new Bad(
                    name
                            + ": line "
                            + (e.getLocation() == null ? "?" : e.getLocation().getLineNr())
                            + ": expected TOML: "
                            + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
        Check c = new Check(name);
        c.positive("length_s", s.length_s);
        c.positive("tick", s.tick);
        c.within("gateways", s.gateways, 1, 2000);
        c.within("net.one_way", s.net.one_way, 0, 10_000);
        c.within("net.jitter", s.net.jitter, 0, 1);
        c.within("net.list_late", s.net.list_late, 0, 60_000);
        c.within("net.list_spread", s.net.list_spread, 0, 1);
        c.positive("net.connect_timeout", s.net.connect_timeout);
        c.within("servers.count", s.servers.count, 1, 5000);
        c.within("servers.cores", s.servers.cores, 1, 512);
        c.within("servers.room", s.servers.room, 0, 1_000_000);
        c.positive("servers.speed", s.servers.speed);
        c.within("servers.speed_spread", s.servers.speed_spread, 0, 0.9);
        c.that("servers.zones", !s.servers.zones.isEmpty(), "one zone at least");
        c.within("servers.cold_from", s.servers.cold_from, 0.01, 1);
        c.within("servers.cold_time", s.servers.cold_time, 0, 600_000);
        c.within("counter.parts", s.counter.parts, 1, 64);
        c.positive("counter.takes", s.counter.takes);
        c.positive("counter.timeout", s.counter.timeout);
        c.that("frontends", !s.frontends.isEmpty(), "one frontend at least");
        for (Frontend f : s.frontends) {
            c.positive("frontends." + f.name + ".share", f.share);
            c.positive("frontends." + f.name + ".work", f.work);
            c.positive("frontends." + f.name + ".target", f.target);
            c.that(
                    "frontends." + f.name + ".timeout",
                    f.timeout >= 1.5 * f.target,
                    "one and a half of the target at least");
        }
        c.that("plans", !s.plans.isEmpty(), "one plan at least");
        for (Plan p : s.plans) {
            c.positive("plans." + p.name + ".share", p.share);
            c.positive("plans." + p.name + ".rate", p.rate);
            c.that(
                    "plans." + p.name + ".burst",
                    p.burst >= s.clients.largest,
                    "the largest req at least");
            c.within("plans." + p.name + ".ceiling", p.ceiling, 0, 1e6);
            c.that(
                    "plans." + p.name + ".slack",
                    p.ceiling == 0 || p.slack >= s.clients.largest,
                    "the largest req at least");
        }
        c.within("clients.customers", s.clients.customers, 1, 2_000_000);
        c.within("clients.spread", s.clients.spread, 1, s.gateways);
        c.positive("clients.use", s.clients.use);
        c.within("clients.heavy", s.clients.heavy, 0, 1);
        c.within("clients.skew", s.clients.skew, 0, 10);
        c.positive("clients.shift_s", s.clients.shift_s);
        c.within("clients.spiky", s.clients.spiky, 0, 1);
        c.within("clients.spike_times", s.clients.spike_times, 1, 1000);
        c.positive("clients.spike_every_s", s.clients.spike_every_s);
        c.within("clients.spike_s", s.clients.spike_s, 0, s.clients.spike_every_s);
        c.within("clients.retries", s.clients.retries, 0, 10);
        c.within("clients.leave", s.clients.leave, 0, 1);
        c.within("clients.largest", s.clients.largest, 1, 1000);
        c.within("clients.uneven", s.clients.uneven, 0, 10);
        c.within("rules.max_dispatches", s.rules.max_dispatches, 1, 10);
        c.positive("rules.fall_multiple", s.rules.fall_multiple);
        c.positive("rules.fall_time", s.rules.fall_time);
        for (int i = 0; i < s.faults.size(); i++) {
            Fault f = s.faults.get(i);
            String at = "faults[" + i + "]";
            c.within(at + ".at_s", f.at_s, 0, s.length_s);
            c.positive(at + ".for_s", f.for_s);
            c.within(at + ".part", f.part, 0, 1);
            boolean nodes =
                    switch (f.kind) {
                        case SERVERS_DIE,
                                        SERVERS_SLOW,
                                        SERVERS_HANG,
                                        FLEET_SHRINKS,
                                        GATEWAYS_DIE,
                                        COUNTER_SPLIT,
                                        SERVERS_ROLL,
                                        GATEWAYS_ROLL ->
                                true;
                        default -> false;
                    };
            c.that(at + ".part", !nodes || f.part > 0, "some part of the nodes: it names none");
            boolean sized =
                    f.kind == Kind.SERVERS_SLOW
                            || f.kind == Kind.COUNTER_SLOW
                            || f.kind == Kind.LOAD_RISES;
            boolean steps = f.kind == Kind.SERVERS_ROLL || f.kind == Kind.GATEWAYS_ROLL;
            c.that(
                    at + ".size",
                    !steps || f.size >= 1 && f.size == Math.rint(f.size),
                    "a whole number of steps");
            c.that(at + ".size", !sized || f.size > 0, "how many times");
        }
        return s;
    }

    private static void change(String file, JsonNode tree, String key, String value) throws Bad {
        String[] steps = key.split("\\.");
        JsonNode at = tree;
        for (int i = 0; i < steps.length - 1 && at != null; i++) {
            at = step(at, steps[i]);
        }
        String last = steps[steps.length - 1];
        if (!(at instanceof ObjectNode in) || !in.has(last) || in.get(last).isContainerNode()) {
            throw new Bad(
                    file + ": " + key + ": expected a key that the scenario has, with one value");
        }
        try {
            if (in.get(last).isNumber()) {
                in.put(last, new BigDecimal(value));
            } else {
                in.put(last, value);
            }
        } catch (NumberFormatException e) {
            throw new Bad(file + ": " + key + ": expected a number, not " + value);
        }
    }

    /** Into an object, an array by number, or an array of named things by name. */
    private static JsonNode step(JsonNode at, String name) {
        if (!at.isArray()) {
            return at.get(name);
        }
        for (JsonNode n : at) {
            if (n.path("name").asText("").equals(name)) {
                return n;
            }
        }
        return name.matches("\\d{1,6}") ? at.get(Integer.parseInt(name)) : null;
    }

    /** Where in the file, by key. */
    public static String place(JsonMappingException e) {
        StringBuilder s = new StringBuilder();
        for (JsonMappingException.Reference r : e.getPath()) {
            s.append(
                    r.getFieldName() == null
                            ? "[" + r.getIndex() + "]"
                            : (s.length() > 0 ? "." : "") + r.getFieldName());
        }
        return s.isEmpty() ? "top" : s.toString();
    }

    private record Check(String file) {
        void that(String key, boolean holds, String expected) throws Bad {
            if (!holds) {
                throw new Bad(file + ": " + key + ": expected " + expected);
            }
        }

        void positive(String key, double v) throws Bad {
            that(key, v > 0 && Double.isFinite(v), "a number above 0, not " + v);
        }

        void within(String key, double v, double least, double most) throws Bad {
            that(
                    key,
                    v >= least && v <= most,
                    "a number from " + least + " to " + most + ", not " + v);
        }
    }
}
