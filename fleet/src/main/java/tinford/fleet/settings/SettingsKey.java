package tinford.fleet.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * One key of a schema.
 *
 * @param expected description of the valid values, for error messages
 * @param min the smallest valid number; only for numbers
 * @param max the largest valid number; only for numbers
 * @param defaultValue the value if the key is omitted; null if the key is required
 */
record SettingsKey(Type type, String expected, double min, double max, Object defaultValue) {
    /** The type of a value; {@code TEXTS} is a list of strings. */
    enum Type {
        NUMBER,
        FLAG,
        TEXT,
        TEXTS
    }

    static SettingsKey number(double min, double max, Double defaultValue) {
        String expected = "a number from " + formatNumber(min) + " to " + formatNumber(max);
        return new SettingsKey(Type.NUMBER, expected, min, max, defaultValue);
    }

    static SettingsKey of(Type type, String expected, Object defaultValue) {
        return new SettingsKey(type, expected, 0, 0, defaultValue);
    }

    /** The value of a TOML node; null if it is invalid. */
    Object value(JsonNode node) {
        return switch (type) {
            case NUMBER -> number(node);
            case FLAG -> node.isBoolean() ? node.booleanValue() : null;
            case TEXT -> node.isTextual() && !node.textValue().isBlank() ? node.textValue() : null;
            case TEXTS -> texts(node);
        };
    }

    private Double number(JsonNode node) {
        double number = node.isNumber() ? node.doubleValue() : Double.NaN;
        return number >= min && number <= max ? (Double) number : null;
    }

    private static List<String> texts(JsonNode node) {
        List<String> texts = new ArrayList<>();
        for (JsonNode each : node) {
            if (!each.isTextual()) {
                return null;
            }
            texts.add(each.textValue());
        }
        return node.isArray() ? texts : null;
    }

    private static String formatNumber(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }
}
