package tinford.fleet.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The keys that an operator file may have, each named {@code table.key}. */
public final class SettingsSchema {
    private final Map<String, SettingsKey> keys = new LinkedHashMap<>();

    /** A number that may be left out. */
    public SettingsSchema number(String key, double absent, double least, double most) {
        keys.put(key, SettingsKey.number(least, most, absent));
        return this;
    }

    /** True or false; may be left out. */
    public SettingsSchema flag(String key, boolean absent) {
        keys.put(key, SettingsKey.of(SettingsKey.Type.FLAG, "true or false", absent));
        return this;
    }

    /** A text that may be left out and is empty then. */
    public SettingsSchema text(String key, String expected) {
        keys.put(key, SettingsKey.of(SettingsKey.Type.TEXT, expected, ""));
        return this;
    }

    /** A text that has to be there. */
    public SettingsSchema requiredText(String key, String expected) {
        keys.put(key, SettingsKey.of(SettingsKey.Type.TEXT, expected, null));
        return this;
    }

    /** A list of texts that may be left out and is empty then. */
    public SettingsSchema texts(String key, String expected) {
        keys.put(key, SettingsKey.of(SettingsKey.Type.TEXTS, expected, List.of()));
        return this;
    }

    /** Reads the file; every fault of its keys is told at once. */
    public OperatorSettings read(Path file) throws InvalidOperatorFileException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new InvalidOperatorFileException(
                    List.of(file + ": expected a file that can be read"));
        }
        return parse(file.toString(), text);
    }

    /**
     * Reads a text.
     *
     * @param file its name, for faults
     */
    public OperatorSettings parse(String file, String text) throws InvalidOperatorFileException {
        Map<String, Object> values = new LinkedHashMap<>();
        OperatorSettings settings = new OperatorSettings(file, text, values);
        List<String> faults = new ArrayList<>();
        for (Map.Entry<String, JsonNode> table : tree(file, text).properties()) {
            if (table.getValue().isObject()) {
                readTable(table, settings, values, faults);
            } else {
                faults.add(settings.fault(table.getKey(), "to stand in a table"));
            }
        }
        addAbsent(settings, values, faults);
        if (!faults.isEmpty()) {
            throw new InvalidOperatorFileException(faults);
        }
        return settings;
    }

    private static JsonNode tree(String file, String text) throws InvalidOperatorFileException {
        try {
            return new TomlMapper().readTree(text);
        } catch (JsonProcessingException e) {
            String line = e.getLocation() == null ? "?" : "" + e.getLocation().getLineNr();
            throw new InvalidOperatorFileException(
                    List.of(
                            file
                                    + ", line "
                                    + line
                                    + ": expected TOML: "
                                    + e.getOriginalMessage()));
        }
    }

    private void readTable(
            Map.Entry<String, JsonNode> table,
            OperatorSettings settings,
            Map<String, Object> values,
            List<String> faults) {
        for (Map.Entry<String, JsonNode> entry : table.getValue().properties()) {
            String name = table.getKey() + "." + entry.getKey();
            SettingsKey key = keys.get(name);
            if (key == null) {
                faults.add(settings.fault(name, "no such key; there are " + keys.keySet()));
                continue;
            }
            Object value = key.value(entry.getValue());
            if (value == null) {
                faults.add(settings.fault(name, key.expected()));
            } else {
                values.put(name, value);
            }
        }
    }

    private void addAbsent(
            OperatorSettings settings, Map<String, Object> values, List<String> faults) {
        keys.forEach(
                (name, key) -> {
                    if (key.absent() != null) {
                        values.putIfAbsent(name, key.absent());
                    } else if (!values.containsKey(name) && !settings.isWritten(name)) {
                        faults.add(settings.fault(name, key.expected()));
                    }
                });
    }
}
