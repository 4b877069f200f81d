package tinford.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * JSON objects in lines of text, each in one line or over several. What it keeps of one is bounded.
 */
public final class JsonObjectSplitter {
    private static final byte[] LINE_END = {'\n'};
    private final int most;
    private final JsonParser in;
    private final ByteArrayFeeder feeder;
    private StringBuilder text = new StringBuilder();
    private int depth;

    /**
     * @param most the characters of the longest object that is read
     */
    public JsonObjectSplitter(JsonFactory json, int most) {
        this.most = most;
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
    public String addLine(String line) throws ProtocolException {
        if (line.isEmpty() && text.length() == 0) {
            return line;
        }
        if (text.length() + line.length() + 1 > most) {
            throw new ProtocolException("an object of under " + most + " bytes");
        }
        try {
            feed(line.getBytes(StandardCharsets.UTF_8));
            feed(LINE_END);
        } catch (IOException e) {
            throw new ProtocolException("JSON");
        }
        if (depth <= 0 && text.length() == 0) {
            return line; // the usual case takes no copy
        }
        text.append(line).append('\n');
        if (depth > 0) {
            return null;
        }
        String whole = text.toString();
        text = new StringBuilder();
        return whole;
    }

    private void feed(byte[] bytes) throws IOException {
        feeder.feedInput(bytes, 0, bytes.length);
        for (JsonToken t = in.nextToken(); t != JsonToken.NOT_AVAILABLE; t = in.nextToken()) {
            depth += t.isStructStart() ? 1 : t.isStructEnd() ? -1 : 0;
        }
    }
}
