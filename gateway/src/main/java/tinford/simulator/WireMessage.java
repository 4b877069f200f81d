package tinford.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import tinford.settings.InvalidSettingsException;
import tinford.settings.JsonFields;
import tinford.settings.JsonValueParser;

/** A message of the simulator protocol: one line with a type and fields. */
final class WireMessage extends JsonFields {
    private final String source;
    private final String type;
    private List<JsonFields> endpointEntries;

    private WireMessage(String source, String type, Map<String, Object> fields) {
        super(source, type, fields);
        this.source = source;
        this.type = type;
    }

    /**
     * Parses a line.
     *
     * @param lineNumber number of the line for error messages, counted from 1
     * @throws InvalidSettingsException if the line is not exactly one message
     */
    static WireMessage parse(JsonFactory json, int lineNumber, String line) {
        String source = source(lineNumber);
        try (JsonParser parser = json.createParser(line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT
                    || parser.nextToken() != JsonToken.FIELD_NAME) {
                throw new InvalidSettingsException(source, "message", "an object with one key");
            }
            String type = parser.currentName();
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidSettingsException(source, type, "an object of fields");
            }
            WireMessage message =
                    new WireMessage(source, type, JsonValueParser.parseObject(parser));
            if (parser.nextToken() != JsonToken.END_OBJECT || parser.nextToken() != null) {
                throw new InvalidSettingsException(source, type, "nothing after the message");
            }
            return message;
        } catch (IOException e) {
            throw new InvalidSettingsException(source, "message", "JSON on one line");
        }
    }

    /** Returns the location of an input line, for error messages. */
    static String source(int lineNumber) {
        return "line " + lineNumber;
    }

    /** Returns the message's type, as named in the protocol. */
    String type() {
        return type;
    }

    /** Returns the exception for a message of a type that is not expected. */
    InvalidSettingsException unexpected(String expected) {
        return new InvalidSettingsException(source, type, expected);
    }

    /**
     * Attaches the entries of the endpoint list that the message refers to by number. The number
     * may be reused later in the same batch, so it is resolved when the message arrives.
     */
    void attachEndpointEntries(List<JsonFields> entries) {
        endpointEntries = entries;
    }

    /** Returns the attached entries, or null if the message refers to no endpoint list. */
    List<JsonFields> endpointEntries() {
        return endpointEntries;
    }
}
