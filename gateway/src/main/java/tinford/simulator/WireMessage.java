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

/** One line of the wire: a message's name and its fields. */
final class WireMessage extends JsonFields {
    final int number;
    final String name;

    /** The server list that a message refers to, as it stood when the message came. */
    List<JsonFields> sheet;

    private WireMessage(int number, String name, Map<String, Object> fields) {
        super("line " + number, name, fields);
        this.number = number;
        this.name = name;
    }

    static WireMessage parse(JsonFactory json, int number, String text) {
        String where = "line " + number;
        try (JsonParser in = json.createParser(text)) {
            if (in.nextToken() != JsonToken.START_OBJECT
                    || in.nextToken() != JsonToken.FIELD_NAME) {
                throw new InvalidSettingsException(where, "message", "an object with one key");
            }
            String name = in.currentName();
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidSettingsException(where, name, "an object of fields");
            }
            WireMessage line = new WireMessage(number, name, JsonValueParser.parseObject(in));
            if (in.nextToken() != JsonToken.END_OBJECT || in.nextToken() != null) {
                throw new InvalidSettingsException(where, name, "nothing after the message");
            }
            return line;
        } catch (IOException e) {
            throw new InvalidSettingsException(where, "message", "JSON on one line");
        }
    }
}
