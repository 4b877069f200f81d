package tinford.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * Finds JSON objects in lines of text. An object may take one line or several; its length is
 * bounded.
 */
public final class JsonObjectSplitter {
    private static final byte[] LINE_END = {'\n'};
    private final int maxObjectChars;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;

    /** The lines of the object that is not complete yet. */
    private StringBuilder incomplete = new StringBuilder();

    private int depth;

    /**
     * @param maxObjectChars the length of the longest object that is accepted
     */
    public JsonObjectSplitter(JsonFactory json, int maxObjectChars) {
        this.maxObjectChars = maxObjectChars;
        try {
            parser = json.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // declared only: no input is read here
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /**
     * Adds a line, without its line end.
     *
     * @return the object that it completes; an empty text for an empty line between objects; null
     *     when the object is not complete yet
     */
    public String addLine(String line) throws ProtocolException {
        if (line.isEmpty() && incomplete.length() == 0) {
            return line;
        }
        if (incomplete.length() + line.length() + 1 > maxObjectChars) {
            throw new ProtocolException("an object of under " + maxObjectChars + " bytes");
        }
        try {
            feed(line.getBytes(StandardCharsets.UTF_8));
            feed(LINE_END);
        } catch (IOException e) {
            throw new ProtocolException("JSON");
        }
        if (depth <= 0 && incomplete.length() == 0) {
            return line; // the usual case, without a copy
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
