package tinford.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The fields of a JSON object, read with checks of their types and ranges. Each reading method
 * throws an {@link InvalidSettingsException} that names the field where its value is not as
 * expected. A field whose value is null counts as absent.
 */
public class JsonFields {
    /** Microseconds in a millisecond. */
    private static final double US_PER_MS = 1000;

    private final String source;
    private final String path;
    private final Map<String, Object> fields;

    /**
     * Creates a view of the fields of an object.
     *
     * @param source the input, for error messages
     * @param path path of the object within the input; empty for the outermost object
     * @param fields values as {@link JsonValueParser} makes them
     */
    protected JsonFields(String source, String path, Map<String, Object> fields) {
        this.source = source;
        this.path = path;
        this.fields = fields;
    }

    /**
     * Parses a text that holds one JSON object.
     *
     * @param source the input, for error messages
     * @throws InvalidSettingsException if the text is anything else, or is nested too deep
     */
    public static JsonFields of(JsonFactory json, String source, String text) {
        try (JsonParser parser = json.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidSettingsException(source, "text", "a JSON object");
            }
            JsonFields object = new JsonFields(source, "", JsonValueParser.parseObject(parser));
            if (parser.nextToken() != null) {
                throw new InvalidSettingsException(source, "text", "nothing after the object");
            }
            return object;
        } catch (JsonValueParser.NestingTooDeepException e) {
            throw new InvalidSettingsException(
                    source,
                    "text",
                    "JSON of at most " + JsonValueParser.MAX_NESTING_DEPTH + " levels");
        } catch (IOException e) {
            throw new InvalidSettingsException(source, "text", "JSON");
        }
    }

    /** Returns the exception for a field whose value is not as expected. */
    public InvalidSettingsException invalid(String field, String expected) {
        return new InvalidSettingsException(source, pathOf(field), expected);
    }

    private String pathOf(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    /** Returns whether the field is present. */
    public boolean has(String field) {
        return fields.get(field) != null;
    }

    /** Returns a text. */
    public String text(String field) {
        if (fields.get(field) instanceof String text) {
            return text;
        }
        throw invalid(field, "a text");
    }

    /** Returns a boolean; false when absent. */
    public boolean flag(String field) {
        Object value = fields.get(field);
        if (value == null || value instanceof Boolean) {
            return Boolean.TRUE.equals(value);
        }
        throw invalid(field, "true or false");
    }

    /** Returns a whole number. */
    public long integer(String field) {
        if (fields.get(field) instanceof Long number) {
            return number;
        }
        throw invalid(field, "a whole number");
    }

    /** Returns a whole number, or the default when absent. */
    public long integer(String field, long defaultValue) {
        return has(field) ? integer(field) : defaultValue;
    }

    /** Returns a whole number from {@code min} to {@link Integer#MAX_VALUE}. */
    public int count(String field, int min) {
        long number = integer(field);
        if (number < min || number > Integer.MAX_VALUE) {
            throw invalid(field, "a whole number from " + min + " to " + Integer.MAX_VALUE);
        }
        return (int) number;
    }

    /** Returns a whole number from {@code min} on, or the default when absent. */
    public int count(String field, int min, int defaultValue) {
        return has(field) ? count(field, min) : defaultValue;
    }

    /** Returns a number, which may be infinite where the text is beyond the range of a double. */
    public double number(String field) {
        if (fields.get(field) instanceof Number number) {
            return number.doubleValue();
        }
        throw invalid(field, "a number");
    }

    /** Returns a number, or the default when absent. */
    public double number(String field, double defaultValue) {
        return has(field) ? number(field) : defaultValue;
    }

    /** Returns a finite number from 0 on, or the default when absent. */
    public double nonNegative(String field, double defaultValue) {
        double number = number(field, defaultValue);
        if (number >= 0 && number < Double.POSITIVE_INFINITY) {
            return number;
        }
        throw invalid(field, "a number from 0 on");
    }

    /** Returns a finite number above 0. */
    public double positive(String field) {
        double number = number(field);
        if (number > 0 && number < Double.POSITIVE_INFINITY) {
            return number;
        }
        throw invalid(field, "a number above 0");
    }

    /** Returns a time in ms that the field gives in microseconds; 0 when absent. */
    public double millis(String field) {
        return nonNegative(field, 0) / US_PER_MS;
    }

    /**
     * Returns a time in ms that the field gives in microseconds.
     *
     * @param defaultMs time in ms when the field is absent or 0
     */
    public double millis(String field, double defaultMs) {
        double timeMs = millis(field);
        return timeMs > 0 ? timeMs : defaultMs;
    }

    /** Returns a time above 0 in ms that the field gives in microseconds. */
    public double positiveMillis(String field) {
        return positive(field) / US_PER_MS;
    }

    /** Returns an array of numbers, or null when absent. */
    public double[] numbers(String field) {
        if (!has(field)) {
            return null;
        }
        List<?> values = array(field, "an array of numbers");
        double[] numbers = new double[values.size()];
        for (int i = 0; i < numbers.length; i++) {
            if (!(values.get(i) instanceof Number number)) {
                throw invalid(field, "an array of numbers");
            }
            numbers[i] = number.doubleValue();
        }
        return numbers;
    }

    /** Returns an array of texts. */
    public List<String> texts(String field) {
        List<String> texts = new ArrayList<>();
        for (Object value : array(field, "an array of texts")) {
            if (!(value instanceof String text)) {
                throw invalid(field, "an array of texts");
            }
            texts.add(text);
        }
        return texts;
    }

    /** Returns an object. */
    public JsonFields object(String field) {
        if (fields.get(field) instanceof Map<?, ?> map) {
            return child(field, map);
        }
        throw invalid(field, "an object");
    }

    /** Returns an object, or one without fields when absent. */
    public JsonFields objectOrEmpty(String field) {
        return has(field) ? object(field) : child(field, Map.of());
    }

    /** Returns an array of objects. */
    public List<JsonFields> objects(String field) {
        List<JsonFields> objects = new ArrayList<>();
        for (Object value : array(field, "an array of objects")) {
            if (!(value instanceof Map<?, ?> map)) {
                throw invalid(field, "an array of objects");
            }
            objects.add(child(field, map));
        }
        return objects;
    }

    /** Returns whether both objects have the same value in the field, or both none. */
    public boolean sameValue(JsonFields other, String field) {
        return Objects.equals(fields.get(field), other.fields.get(field));
    }

    private List<?> array(String field, String expected) {
        if (fields.get(field) instanceof List<?> values) {
            return values;
        }
        throw invalid(field, expected);
    }

    private JsonFields child(String field, Map<?, ?> values) {
        Map<String, Object> copy = new LinkedHashMap<>();
        values.forEach((name, value) -> copy.put((String) name, value));
        return new JsonFields(source, pathOf(field), copy);
    }
}
