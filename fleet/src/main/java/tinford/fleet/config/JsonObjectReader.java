package tinford.fleet.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Reads the fields of one object in a JSON tree. Exceptions identify a field by its path from the
 * root, such as {@code changes[2].putRoute.name}.
 *
 * <p>{@code tinford.settings.JsonFields} is the counterpart for the settings with which a gateway
 * is started. This class differs in that it throws a checked exception with the path, and reads
 * only trees whose depth and lengths were bounded by {@link Json}.
 */
final class JsonObjectReader {
    private final JsonObjectReader parent;
    private final String name;
    private final JsonNode node;

    private JsonObjectReader(JsonObjectReader parent, String name, JsonNode node) {
        this.parent = parent;
        this.name = name;
        this.node = node;
    }

    /** A set of field names, in alphabetical order. */
    static Set<String> keys(String... keys) {
        return new TreeSet<>(List.of(keys));
    }

    static JsonObjectReader root(JsonNode node) throws InvalidConfigurationException {
        if (!node.isObject()) {
            throw new InvalidConfigurationException("json", "an object");
        }
        return new JsonObjectReader(null, "", node);
    }

    /** Creates the exception for a field of this object that is not as expected. */
    InvalidConfigurationException invalid(String key, String expected) {
        return new InvalidConfigurationException(path(key), expected);
    }

    /** Whether the object has a field with this name that is not null. */
    boolean has(String key) {
        return node.hasNonNull(key);
    }

    /** Throws if the object has any other field. */
    void allowOnly(Set<String> keys) throws InvalidConfigurationException {
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String key = names.next();
            if (!keys.contains(key)) {
                throw invalid(key, "a known key, one of " + String.join(", ", keys));
            }
        }
    }

    /** Returns the name of the only field; throws unless there is exactly one. */
    String onlyKey(String expected) throws InvalidConfigurationException {
        if (node.size() != 1) {
            throw new InvalidConfigurationException(path(), expected);
        }
        return node.fieldNames().next();
    }

    String text(String key) throws InvalidConfigurationException {
        JsonNode value = node.path(key);
        if (!value.isTextual()) {
            throw invalid(key, "a string");
        }
        return value.textValue();
    }

    long integer(String key) throws InvalidConfigurationException {
        JsonNode value = node.path(key);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw invalid(key, "an integer");
        }
        return value.longValue();
    }

    long nonNegativeLong(String key) throws InvalidConfigurationException {
        long value = integer(key);
        if (value < 0) {
            throw invalid(key, "an integer of at least 0");
        }
        return value;
    }

    int nonNegativeInt(String key) throws InvalidConfigurationException {
        long value = nonNegativeLong(key);
        if (value > Integer.MAX_VALUE) {
            throw invalid(key, "an integer from 0 to " + Integer.MAX_VALUE);
        }
        return (int) value;
    }

    double number(String key) throws InvalidConfigurationException {
        JsonNode value = node.path(key);
        if (!value.isNumber()) {
            throw invalid(key, "a number");
        }
        return value.doubleValue();
    }

    double number(String key, double defaultValue) throws InvalidConfigurationException {
        return has(key) ? number(key) : defaultValue;
    }

    boolean flag(String key, boolean defaultValue) throws InvalidConfigurationException {
        if (!has(key)) {
            return defaultValue;
        }
        JsonNode value = node.path(key);
        if (!value.isBoolean()) {
            throw invalid(key, "true or false");
        }
        return value.booleanValue();
    }

    JsonObjectReader object(String key) throws InvalidConfigurationException {
        return object(key, node.path(key));
    }

    List<JsonObjectReader> objects(String key) throws InvalidConfigurationException {
        JsonNode values = node.path(key);
        if (!values.isArray()) {
            throw invalid(key, "an array of objects");
        }
        List<JsonObjectReader> objects = new ArrayList<>(values.size());
        for (int i = 0; i < values.size(); i++) {
            objects.add(object(key + "[" + i + "]", values.get(i)));
        }
        return objects;
    }

    private JsonObjectReader object(String key, JsonNode value)
            throws InvalidConfigurationException {
        if (!value.isObject()) {
            throw invalid(key, "an object");
        }
        return new JsonObjectReader(this, key, value);
    }

    private String path() {
        return parent == null ? name : parent.path(name);
    }

    private String path(String key) {
        String own = path();
        return own.isEmpty() ? key : own + "." + key;
    }
}
