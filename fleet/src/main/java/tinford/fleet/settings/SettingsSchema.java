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

/** The keys that an operator file may contain, each named {@code table.key}. */
public final class SettingsSchema {
    private final Map<String, SettingsKey> keys = new LinkedHashMap<>();

    /** Adds an optional number. */
    public SettingsSchema number(String key, double defaultValue, double min, double max) {
        keys.put(key, SettingsKey.number(min, max, defaultValue));
        return this;
    }

    /** Adds an optional boolean. */
    public SettingsSchema flag(String key, boolean defaultValue) {
        keys.put(key, SettingsKey.of(SettingsKey.Type.FLAG, "true or false", defaultValue));
        return this;
    }

    /** Adds an optional string, empty by default. */
    public SettingsSchema text(String key, String expected) {
        keys.put(key, SettingsKey.of(SettingsKey.Type.TEXT, expected, ""));
        return this;
    }

    /** Adds a required string. */
    public SettingsSchema requiredText(String key, String expected) {
        keys.put(key, SettingsKey.of(SettingsKey.Type.TEXT, expected, null));
        return this;
    }

    /** Adds an optional list of strings, empty by default. */
    public SettingsSchema texts(String key, String expected) {
        keys.put(key, SettingsKey.of(SettingsKey.Type.TEXTS, expected, List.of()));
        return this;
    }

    /**
     * Reads a file.
     *
     * @throws InvalidOperatorFileException if the file can't be read or is not TOML, or with all
     *     errors of its keys
     */
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
     * Parses the content of a file.
     *
     * @param file name of the file, for error messages
     * @throws InvalidOperatorFileException if the text is not TOML, or with all errors of its keys
     */
    public OperatorSettings parse(String file, String text) throws InvalidOperatorFileException {
        Map<String, Object> values = new LinkedHashMap<>();
        OperatorSettings settings = new OperatorSettings(file, text, values);
        List<String> errors = new ArrayList<>();
        for (Map.Entry<String, JsonNode> table : tree(file, text).properties()) {
            if (table.getValue().isObject()) {
                readTable(table, settings, values, errors);
            } else {
                errors.add(settings.error(table.getKey(), "a table, not a top-level value"));
            }
        }
        addDefaults(settings, values, errors);
        if (!errors.isEmpty()) {
            throw new InvalidOperatorFileException(errors);
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
            List<String> errors) {
        for (Map.Entry<String, JsonNode> entry : table.getValue().properties()) {
            String name = table.getKey() + "." + entry.getKey();
            SettingsKey key = keys.get(name);
            if (key == null) {
                errors.add(settings.error(name, "one of the keys " + keys.keySet()));
                continue;
            }
            Object value = key.value(entry.getValue());
            if (value == null) {
                errors.add(settings.error(name, key.expected()));
            } else {
                values.put(name, value);
            }
        }
    }

    private void addDefaults(
            OperatorSettings settings, Map<String, Object> values, List<String> errors) {
        keys.forEach(
                (name, key) -> {
                    if (key.defaultValue() != null) {
                        values.putIfAbsent(name, key.defaultValue());
                    } else if (!values.containsKey(name) && !settings.isPresent(name)) {
                        errors.add(settings.error(name, key.expected()));
                    }
                });
    }
}
