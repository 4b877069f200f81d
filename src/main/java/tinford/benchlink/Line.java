package tinford.benchlink;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One line of the wire: a message's name and its fields, read with checks. */
final class Line {
    final int number;
    final String name;
    /** The server list that a message refers to, as it stood when the message came. */
    List<Line> sheet;
    private final Map<String, Object> fields;

    private Line(int number, String name, Map<String, Object> fields) {
        this.number = number;
        this.name = name;
        this.fields = fields;
    }

    static Line parse(JsonFactory json, int number, String text) {
        try (JsonParser in = json.createParser(text)) {
            if (in.nextToken() != JsonToken.START_OBJECT || in.nextToken() != JsonToken.FIELD_NAME) {
                throw new BadInput(number, "message", "an object with one key");
            }
            String name = in.getCurrentName();
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new BadInput(number, name, "an object of fields");
            }
            Line line = new Line(number, name, object(in));
            if (in.nextToken() != JsonToken.END_OBJECT || in.nextToken() != null) {
                throw new BadInput(number, name, "nothing after the message");
            }
            return line;
        } catch (IOException e) {
            throw new BadInput(number, "message", "JSON on one line");
        }
    }

    private static Map<String, Object> object(JsonParser in) throws IOException {
        Map<String, Object> found = new LinkedHashMap<>();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String key = in.getCurrentName();
            in.nextToken();
            found.put(key, value(in));
        }
        return found;
    }

    private static Object value(JsonParser in) throws IOException {
        switch (in.currentToken()) {
            case START_OBJECT:
                return object(in);
            case START_ARRAY:
                List<Object> all = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    all.add(value(in));
                }
                return all;
            case VALUE_NUMBER_INT:
                return in.getNumberType() == JsonParser.NumberType.BIG_INTEGER ? in.getDoubleValue()
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

    BadInput bad(String field, String expected) {
        return new BadInput(number, name + "." + field, expected);
    }

    String text(String field) {
        if (fields.get(field) instanceof String s) {
            return s;
        }
        throw bad(field, "a text");
    }

    boolean flag(String field) {
        Object v = fields.get(field);
        if (v == null || v instanceof Boolean) {
            return Boolean.TRUE.equals(v);
        }
        throw bad(field, "true or false");
    }

    long whole(String field) {
        if (fields.get(field) instanceof Long n) {
            return n;
        }
        throw bad(field, "a whole number");
    }

    long whole(String field, long absent) {
        return fields.get(field) == null ? absent : whole(field);
    }

    double real(String field) {
        if (fields.get(field) instanceof Number n) {
            return n.doubleValue();
        }
        throw bad(field, "a number");
    }

    double real(String field, double absent) {
        return fields.get(field) == null ? absent : real(field);
    }

    /** A time, given in microseconds, as milliseconds; 0 when absent. */
    double millis(String field) {
        return real(field, 0) / 1000;
    }

    double[] reals(String field) {
        Object v = fields.get(field);
        if (v == null) {
            return null;
        }
        if (!(v instanceof List<?> all)) {
            throw bad(field, "an array of numbers");
        }
        double[] found = new double[all.size()];
        for (int i = 0; i < found.length; i++) {
            if (!(all.get(i) instanceof Number n)) {
                throw bad(field, "an array of numbers");
            }
            found[i] = n.doubleValue();
        }
        return found;
    }

    Line part(String field) {
        if (fields.get(field) instanceof Map<?, ?> m) {
            return within(field, m);
        }
        throw bad(field, "an object");
    }

    List<Line> parts(String field) {
        if (!(fields.get(field) instanceof List<?> all)) {
            throw bad(field, "an array of objects");
        }
        List<Line> found = new ArrayList<>();
        for (Object o : all) {
            if (!(o instanceof Map<?, ?> m)) {
                throw bad(field, "an array of objects");
            }
            found.add(within(field, m));
        }
        return found;
    }

    private Line within(String field, Map<?, ?> m) {
        Map<String, Object> copy = new LinkedHashMap<>();
        m.forEach((k, v) -> copy.put((String) k, v));
        return new Line(number, name + "." + field, copy);
    }
}
