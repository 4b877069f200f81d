package tinford.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * Splits lines of text into JSON objects. An object may span several lines; its length is limited.
 */
public final class JsonObjectSplitter {
    private static final byte[] LINE_END = {'\n'};
    private final int maxObjectChars;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;

    /** The lines received so far of an object that is not complete yet. */
    private StringBuilder incomplete = new StringBuilder();

    private int depth;

    /**
     * @param maxObjectChars the maximum length of an object
     */
    public JsonObjectSplitter(JsonFactory jsonFactory, int maxObjectChars) {
        this.maxObjectChars = maxObjectChars;
        try {
            parser = jsonFactory.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // declared by Jackson, but no input is read here
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /**
     * Adds a line, without its line end.
     *
     * @return the object that the line completes, an empty string for an empty line between
     *     objects, or null if the object is not complete yet
     */
    public String addLine(String line) throws ProtocolException {
        if (line.isEmpty() && incomplete.length() == 0) {
            return line;
        }
        if (incomplete.length() + line.length() + 1 > maxObjectChars) {
            throw new ProtocolException("a JSON object of under " + maxObjectChars + " bytes");
        }
        try {
            feed(line.getBytes(StandardCharsets.UTF_8));
            feed(LINE_END);
        } catch (IOException e) {
            throw new ProtocolException("valid JSON");
        }
        if (depth <= 0 && incomplete.length() == 0) {
            return line; // an object on a single line, the usual case, is returned without a copy
        }
        incomplete.append(line).append('\n');
        if (depth > 0) {
            return null;
        }
        String object = incomplete.toString();
        incomplete = new StringBuilder();
        return object;
    }

    private void feed(byte[] bytes) throws IOException {
        feeder.feedInput(bytes, 0, bytes.length);
        JsonToken token = parser.nextToken();
        while (token != JsonToken.NOT_AVAILABLE) {
            if (token.isStructStart()) {
                depth++;
            } else if (token.isStructEnd()) {
                depth--;
            }
            token = parser.nextToken();
        }
    }
}
