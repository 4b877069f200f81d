package tinford.benchlink;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import tinford.handed.BadInput;
import tinford.handed.Fields;

/** One line of the wire: a message's name and its fields. */
final class Line extends Fields {
    final int number;
    final String name;

    /** The server list that a message refers to, as it stood when the message came. */
    List<Fields> sheet;

    private Line(int number, String name, Map<String, Object> fields) {
        super("line " + number, name, fields);
        this.number = number;
        this.name = name;
    }

    static Line parse(JsonFactory json, int number, String text) {
        String where = "line " + number;
        try (JsonParser in = json.createParser(text)) {
            if (in.nextToken() != JsonToken.START_OBJECT
                    || in.nextToken() != JsonToken.FIELD_NAME) {
                throw new BadInput(where, "message", "an object with one key");
            }
            String name = in.currentName();
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new BadInput(where, name, "an object of fields");
            }
            Line line = new Line(number, name, object(in));
            if (in.nextToken() != JsonToken.END_OBJECT || in.nextToken() != null) {
                throw new BadInput(where, name, "nothing after the message");
            }
            return line;
        } catch (IOException e) {
            throw new BadInput(where, "message", "JSON on one line");
        }
    }
}
