package tinford.fleet.run;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tinford.fleet.config.RecordChecks;

/**
 * The operator file of a fleet, checked whole: every fault is told at once, with file, line, key
 * and what was expected.
 */
public final class OperatorFile {
    /** The file can't be used; one line a fault. */
    public static final class Refused extends Exception {
        private static final long serialVersionUID = 1L;

        Refused(List<String> faults) {
            super(String.join("\n", faults));
        }
    }

    private record Key(String expected, double least, double most, Object absent) {}

    private static final Map<String, Key> KEYS = new LinkedHashMap<>();

    private static void number(String key, double absent, double least, double most) {
        KEYS.put(
                key,
                new Key(
                        "a number from " + plain(least) + " to " + plain(most),
                        least,
                        most,
                        absent));
    }

    static {
        number("talk.every_ms", 250, 50, 10_000);
        number("talk.fanout", 2, 1, 16);
        number("talk.suspect_ms", 2000, 200, 60_000);
        KEYS.put("overload.on", new Key("true or false", 0, 0, true));
        number("overload.window_ms", 4000, 500, 60_000);
        number("overload.further_part", 0.1, 0, 1);
        KEYS.put(
                "log.members",
                new Key("a list of numeric host:port, one a gateway", 0, 0, List.of()));
        KEYS.put("log.folder", new Key("a folder that lasts", 0, 0, ""));
        number("log.term_ms", 4000, 500, 120_000);
        number("log.clocks_apart_ms", 50, 0, 10_000);
        number("log.linger_ms", 15_000, 0, 600_000);
        KEYS.put("budgets.on", new Key("true or false", 0, 0, false));
        number("budgets.offer", 16, 1, 100_000);
        number("budgets.static_part", 0.5, 0, 1);
        number("budgets.accounts", 64, 1, 4096);
        number("budgets.floor", 1, 0, 1000);
        number("budgets.cap", 64, 1, 100_000);
        KEYS.put("moves.on", new Key("true or false", 0, 0, false));
        KEYS.put("moves.plan", new Key("a path", 0, 0, ""));
        KEYS.put(
                "moves.homes",
                new Key(
                        "a list of frontend=group, of all frontends that may ever move",
                        0,
                        0,
                        List.of()));
        KEYS.put(
                "moves.rooms",
                new Key("a list of group=units a second,connections", 0, 0, List.of()));
    }

    static {
        KEYS.put("configuration.on", new Key("true or false", 0, 0, false));
        KEYS.put("configuration.fleet", new Key("the name of the fleet", 0, 0, ""));
        KEYS.put("configuration.region", new Key("the name of this gateway's region", 0, 0, ""));
        KEYS.put(
                "configuration.servers",
                new Key("a list of " + ConfigurationSettings.SERVER_FORM, 0, 0, List.of()));
        KEYS.put("configuration.folder", new Key("a folder that lasts", 0, 0, ""));
    }

    private final Map<String, Object> values = new LinkedHashMap<>();

    private OperatorFile() {}

    public static OperatorFile read(Path file) throws Refused {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new Refused(List.of(file + ": expected a file that can be read"));
        }
        return of(file.toString(), text);
    }

    static OperatorFile of(String file, String text) throws Refused {
        List<String> faults = new ArrayList<>();
        OperatorFile found = new OperatorFile();
        JsonNode tree;
        try {
            tree = new TomlMapper().readTree(text);
        } catch (JsonProcessingException e) {
            throw new Refused(
                    List.of(
                            file
                                    + ", line "
                                    + (e.getLocation() == null ? "?" : e.getLocation().getLineNr())
                                    + ": expected TOML: "
                                    + e.getOriginalMessage()));
        }
        for (Iterator<Map.Entry<String, JsonNode>> tables = tree.fields(); tables.hasNext(); ) {
            Map.Entry<String, JsonNode> table = tables.next();
            if (!table.getValue().isObject()) {
                faults.add(
                        at(file, text, "", table.getKey())
                                + table.getKey()
                                + ": expected to stand in a table");
                continue;
            }
            for (Iterator<Map.Entry<String, JsonNode>> keys = table.getValue().fields();
                    keys.hasNext(); ) {
                Map.Entry<String, JsonNode> key = keys.next();
                String name = table.getKey() + "." + key.getKey();
                Key k = KEYS.get(name);
                Object value = k == null ? null : value(k, key.getValue());
                if (value == null) {
                    faults.add(
                            at(file, text, table.getKey(), key.getKey())
                                    + name
                                    + ": expected "
                                    + (k == null
                                            ? "no such key; there are " + KEYS.keySet()
                                            : k.expected));
                } else {
                    found.values.put(name, value);
                }
            }
        }
        KEYS.forEach((name, k) -> found.values.putIfAbsent(name, k.absent));
        if (faults.isEmpty()) {
            found.checkTogether(file, text, faults);
            found.checkConfiguration(file, text, faults);
        }
        if (!faults.isEmpty()) {
            throw new Refused(faults);
        }
        return found;
    }

    private void checkTogether(String file, String text, List<String> faults) {
        if (number("talk.suspect_ms") < 3 * number("talk.every_ms")) {
            faults.add(
                    at(file, text, "talk", "suspect_ms")
                            + "talk.suspect_ms: expected three times talk.every_ms or more");
        }
        if ((on("budgets.on") || on("moves.on"))
                && (texts("log.members").size() < 3 || text("log.folder").isEmpty())) {
            faults.add(
                    at(file, text, "log", "members")
                            + "log.members: expected three or more, and log.folder, where budgets"
                            + " or moves are on");
        }
        if (on("moves.on") && texts("moves.homes").isEmpty()) {
            faults.add(
                    at(file, text, "moves", "homes")
                            + "moves.homes: expected one or more where moves are on");
        }
        for (String m : texts("log.members")) {
            if (!m.matches("[0-9.]+:[0-9]{1,5}")) {
                faults.add(
                        at(file, text, "log", "members")
                                + "log.members: expected numeric host:port, not "
                                + m);
            }
        }
    }

    private void checkConfiguration(String file, String text, List<String> faults) {
        for (String server : texts("configuration.servers")) {
            if (ConfigurationSettings.endpoint(server) == null) {
                faults.add(
                        at(file, text, "configuration", "servers")
                                + "configuration.servers: expected "
                                + ConfigurationSettings.SERVER_FORM
                                + ", not "
                                + server);
            }
        }
        for (String key : List.of("fleet", "region")) {
            String name = text("configuration." + key);
            if (!name.isEmpty() && !RecordChecks.isName(name)) {
                faults.add(
                        at(file, text, "configuration", key)
                                + "configuration."
                                + key
                                + ": expected "
                                + RecordChecks.EXPECTED_NAME
                                + ", not "
                                + name);
            }
        }
        if (!on("configuration.on")) {
            return;
        }
        for (String key : List.of("fleet", "region", "folder")) {
            if (text("configuration." + key).isEmpty()) {
                faults.add(
                        at(file, text, "configuration", "on")
                                + "configuration."
                                + key
                                + ": expected where configuration.on is true");
            }
        }
        if (texts("configuration.servers").isEmpty()) {
            faults.add(
                    at(file, text, "configuration", "on")
                            + "configuration.servers: expected one or more where configuration.on"
                            + " is true");
        }
    }

    private static Object value(Key k, JsonNode v) {
        if (k.absent instanceof Boolean) {
            return v.isBoolean() ? v.booleanValue() : null;
        }
        if (k.absent instanceof String) {
            return v.isTextual() && !v.textValue().isBlank() ? v.textValue() : null;
        }
        if (k.absent instanceof List<?>) {
            List<String> all = new ArrayList<>();
            for (JsonNode one : v) {
                all.add(one.isTextual() ? one.textValue() : "?");
            }
            return v.isArray() && !all.contains("?") ? all : null;
        }
        double n = v.isNumber() ? v.doubleValue() : Double.NaN;
        return n >= k.least && n <= k.most ? (Object) n : null;
    }

    /** The parser keeps no places of values; the key's first line in its table is one. */
    private static String at(String file, String text, String table, String key) {
        int line = 0;
        String in = "";
        for (String l : text.lines().toList()) {
            line++;
            String t = l.strip();
            if (t.startsWith("[")) {
                in = t.replaceAll("[\\[\\]\\s]|#.*", "");
            } else if (in.equals(table) && t.split("=")[0].strip().equals(key)) {
                return file + ", line " + line + ": ";
            }
        }
        return file + ": ";
    }

    private static String plain(double n) {
        return n == Math.rint(n) ? Long.toString((long) n) : Double.toString(n);
    }

    public double number(String key) {
        return (Double) values.get(key);
    }

    public boolean on(String key) {
        return (Boolean) values.get(key);
    }

    public String text(String key) {
        return (String) values.get(key);
    }

    @SuppressWarnings("unchecked")
    public List<String> texts(String key) {
        return (List<String>) values.get(key);
    }
}
