package tinford.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * JSON objects in lines of text, each in one line or over several. What it keeps of one is bounded
 * at 1 MiB.
 */
public final class JsonLines {
    private static final int MOST = 1 << 20;
    private final JsonParser in;
    private final ByteArrayFeeder feeder;
    private final StringBuilder text = new StringBuilder();
    private int depth;

    public JsonLines(JsonFactory json) {
        try {
            in = json.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException(e); // nothing is read yet
        }
        feeder = (ByteArrayFeeder) in.getNonBlockingInputFeeder();
    }

    /**
     * What is whole with this line: an object, or an empty text for an empty line between objects;
     * null: more has to come.
     */
    public String take(String line) throws Malformed {
        if (line.isEmpty() && text.length() == 0) {
            return line;
        }
        text.append(line).append('\n');
        if (text.length() > MOST) {
            throw new Malformed("an object of under " + MOST + " bytes");
        }
        try {
            byte[] b = (line + "\n").getBytes(StandardCharsets.UTF_8);
            feeder.feedInput(b, 0, b.length);
            for (JsonToken t = in.nextToken(); t != JsonToken.NOT_AVAILABLE; t = in.nextToken()) {
                depth += t.isStructStart() ? 1 : t.isStructEnd() ? -1 : 0;
            }
        } catch (IOException e) {
            throw new Malformed("JSON");
        }
        if (depth > 0) {
            return null;
        }
        String whole = text.toString();
        text.setLength(0);
        return whole;
    }
}
