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
 * An object of named values, read with checks; what is not as expected is named by place and field.
 */
public class JsonFields {
    private static final int DEEPEST =
            64; // guards the stack of the I/O thread: each level takes two calls of it
    private final String where;
    private final String name;
    private final Map<String, Object> fields;

    private static final class TooDeep extends IOException {
        private static final long serialVersionUID = 1L;
    }

    protected JsonFields(String where, String name, Map<String, Object> fields) {
        this.where = where;
        this.name = name;
        this.fields = fields;
    }

    /** A text that holds one object. */
    public static JsonFields of(JsonFactory json, String where, String text) {
        try (JsonParser in = json.createParser(text)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidSettingsException(where, "text", "a JSON object");
            }
            JsonFields found = new JsonFields(where, "", parseObject(in));
            if (in.nextToken() != null) {
                throw new InvalidSettingsException(where, "text", "nothing after the object");
            }
            return found;
        } catch (TooDeep e) {
            throw new InvalidSettingsException(
                    where, "text", "JSON of at most " + DEEPEST + " levels");
        } catch (IOException e) {
            throw new InvalidSettingsException(where, "text", "JSON");
        }
    }

    protected static Map<String, Object> parseObject(JsonParser in) throws IOException {
        Map<String, Object> found = new LinkedHashMap<>();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String key = in.currentName();
            in.nextToken();
            found.put(key, parseValue(in));
        }
        return found;
    }

    private static Object parseValue(JsonParser in) throws IOException {
        if (in.getParsingContext().getNestingDepth() > DEEPEST) {
            throw new TooDeep();
        }
        switch (in.currentToken()) {
            case START_OBJECT:
                return parseObject(in);
            case START_ARRAY:
                List<Object> all = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    all.add(parseValue(in));
                }
                return all;
            case VALUE_NUMBER_INT:
                return in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? in.getDoubleValue()
                        : (Number) in.getLongValue();
            case VALUE_NUMBER_FLOAT:
                return in.getDoubleValue();
            case VALUE_TRUE:
                return Boolean.TRUE;
            case VALUE_FALSE:
                return Boolean.FALSE;
            case VALUE_NULL:
                return null;
            default:
                return in.getText();
        }
    }

    public InvalidSettingsException invalid(String field, String expected) {
        return new InvalidSettingsException(
                where, name.isEmpty() ? field : name + "." + field, expected);
    }

    public String text(String field) {
        if (fields.get(field) instanceof String s) {
            return s;
        }
        throw invalid(field, "a text");
    }

    public boolean has(String field) {
        return fields.get(field) != null;
    }

    public boolean flag(String field) {
        Object v = fields.get(field);
        if (v == null || v instanceof Boolean) {
            return Boolean.TRUE.equals(v);
        }
        throw invalid(field, "true or false");
    }

    public long integer(String field) {
        if (fields.get(field) instanceof Long n) {
            return n;
        }
        throw invalid(field, "a whole number");
    }

    public long integer(String field, long absent) {
        return fields.get(field) == null ? absent : integer(field);
    }

    /** A whole number that counts something. */
    public int count(String field, int least) {
        long n = integer(field);
        if (n < least || n > Integer.MAX_VALUE) {
            throw invalid(field, "a whole number from " + least + " to " + Integer.MAX_VALUE);
        }
        return (int) n;
    }

    public int count(String field, int least, int absent) {
        return fields.get(field) == null ? absent : count(field, least);
    }

    public double number(String field) {
        if (fields.get(field) instanceof Number n) {
            return n.doubleValue();
        }
        throw invalid(field, "a number");
    }

    public double number(String field, double absent) {
        return fields.get(field) == null ? absent : number(field);
    }

    /** A finite number from 0 on. */
    public double nonNegative(String field, double absent) {
        double n = number(field, absent);
        if (n >= 0 && n < Double.POSITIVE_INFINITY) {
            return n;
        }
        throw invalid(field, "a number from 0 on");
    }

    /** A finite number above 0. */
    public double positive(String field) {
        double n = number(field);
        if (n > 0 && n < Double.POSITIVE_INFINITY) {
            return n;
        }
        throw invalid(field, "a number above 0");
    }

    /** A time, given in microseconds, as milliseconds; 0 when absent. */
    public double millis(String field) {
        return nonNegative(field, 0) / 1000;
    }

    /** The same; so many milliseconds when absent or 0, where that stands for no such time. */
    public double millis(String field, double absent) {
        double n = millis(field);
        return n > 0 ? n : absent;
    }

    /** An object, or one without fields when absent. */
    public JsonFields objectOrEmpty(String field) {
        return has(field) ? object(field) : child(field, Map.of());
    }

    public double[] numbers(String field) {
        Object v = fields.get(field);
        if (v == null) {
            return null;
        }
        if (!(v instanceof List<?> all)) {
            throw invalid(field, "an array of numbers");
        }
        double[] found = new double[all.size()];
        for (int i = 0; i < found.length; i++) {
            if (!(all.get(i) instanceof Number n)) {
                throw invalid(field, "an array of numbers");
            }
            found[i] = n.doubleValue();
        }
        return found;
    }

    public List<String> texts(String field) {
        if (!(fields.get(field) instanceof List<?> all)) {
            throw invalid(field, "an array of texts");
        }
        List<String> found = new ArrayList<>();
        for (Object o : all) {
            if (!(o instanceof String s)) {
                throw invalid(field, "an array of texts");
            }
            found.add(s);
        }
        return found;
    }

    /** Whether the other object says the same of that field. */
    public boolean sameValue(JsonFields other, String field) {
        return Objects.equals(fields.get(field), other.fields.get(field));
    }

    public JsonFields object(String field) {
        if (fields.get(field) instanceof Map<?, ?> m) {
            return child(field, m);
        }
        throw invalid(field, "an object");
    }

    public List<JsonFields> objects(String field) {
        if (!(fields.get(field) instanceof List<?> all)) {
            throw invalid(field, "an array of objects");
        }
        List<JsonFields> found = new ArrayList<>();
        for (Object o : all) {
            if (!(o instanceof Map<?, ?> m)) {
                throw invalid(field, "an array of objects");
            }
            found.add(child(field, m));
        }
        return found;
    }

    private JsonFields child(String field, Map<?, ?> m) {
        Map<String, Object> copy = new LinkedHashMap<>();
        m.forEach((k, v) -> copy.put((String) k, v));
        return new JsonFields(where, name.isEmpty() ? field : name + "." + field, copy);
    }
}
