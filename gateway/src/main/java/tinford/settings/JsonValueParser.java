package tinford.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses JSON values into Java objects: objects into maps that keep the order of their fields,
 * arrays into lists, whole numbers into {@link Long}, other numbers into {@link Double}.
 */
public final class JsonValueParser {
    /** Bounds the stack of the I/O thread: each level takes two calls. */
    static final int MAX_NESTING_DEPTH = 64;

    /** The text is JSON that is nested deeper than {@link #MAX_NESTING_DEPTH}. */
    static final class NestingTooDeepException extends IOException {
        private static final long serialVersionUID = 1L;

        NestingTooDeepException() {
            super("JSON of more than " + MAX_NESTING_DEPTH + " levels");
        }
    }

    private JsonValueParser() {}

    /**
     * Parses the fields of an object. The parser stands at the object's start before the call and
     * at its end afterwards.
     *
     * @throws IOException if the text is not JSON or is nested too deep
     */
    public static Map<String, Object> parseObject(JsonParser parser) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            fields.put(name, parseValue(parser));
        }
        return fields;
    }

    private static Object parseValue(JsonParser parser) throws IOException {
        if (parser.getParsingContext().getNestingDepth() > MAX_NESTING_DEPTH) {
            throw new NestingTooDeepException();
        }
        return switch (parser.currentToken()) {
            case START_OBJECT -> parseObject(parser);
            case START_ARRAY -> parseArray(parser);
            case VALUE_NUMBER_INT -> parseWholeNumber(parser);
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default -> parser.getText();
        };
    }

    private static List<Object> parseArray(JsonParser parser) throws IOException {
        List<Object> values = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            values.add(parseValue(parser));
        }
        return values;
    }

    /** A whole number beyond the range of a long is kept as a double. */
    private static Number parseWholeNumber(JsonParser parser) throws IOException {
        if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
            return parser.getDoubleValue();
        }
        return parser.getLongValue();
    }
}
