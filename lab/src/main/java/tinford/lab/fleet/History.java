package tinford.lab.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What happened, as each process wrote it down: a JSON object a line (docs/lab.md). A file ends
 * where its process did; half a line at its end is left out.
 */
public final class History implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_LINE_BYTES = 5_000_000;
    private final BufferedWriter out;

    /**
     * @param at monotone ms, one clock for all processes of the machine; {@code wall} Unix ms by
     *     its own clock
     * @param gateway who wrote it, -1 for a stand-in; {@code life} Unix ms of its start
     */
    public record Line(
            double at, double wall, int gateway, long life, String kind, JsonNode fields) {
        public String text(String field) {
            return fields.path(field).asText("");
        }

        public int number(String field) {
            return fields.path(field).asInt(-1);
        }

        public boolean is(String field) {
            return fields.path(field).asBoolean(false);
        }

        @Override
        public String toString() {
            return fields.toString();
        }
    }

    /**
     * A history to be written: flushed line by line, so that what was written is there however the
     * process ends.
     */
    public History(Path file) throws IOException {
        out = Files.newBufferedWriter(file);
    }

    /**
     * @param fields names and values in turn; never fails: a history that can't be written is found
     *     short by its reader
     */
    public synchronized void tell(String kind, Object... fields) {
        try {
            out.write(JSON.writeValueAsString(line(System.nanoTime() / 1e6, kind, fields)) + "\n");
            out.flush();
        } catch (IOException e) {
            // see above
        }
    }

    private static Map<String, Object> line(double at, String kind, Object... fields) {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("at", at);
        all.put("wall", System.currentTimeMillis());
        all.put("kind", kind);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            all.put((String) fields[i], fields[i + 1]);
        }
        return all;
    }

    /** A line as a test makes it by hand. */
    static Line of(double at, String kind, Object... fields) {
        return parse(JSON.valueToTree(line(at, kind, fields)));
    }

    private static Line parse(JsonNode n) {
        return new Line(
                n.path("at").asDouble(),
                n.path("wall").asDouble(),
                n.path("gateway").asInt(-1),
                n.path("life").asLong(0),
                n.path("kind").asText(),
                n);
    }

    /** All lines of all files that are there, in the order of time. */
    public static List<Line> read(List<Path> files) throws IOException {
        List<Line> all = new ArrayList<>();
        for (Path f : files) {
            if (!Files.exists(f)) {
                continue;
            }
            try (BufferedReader in = Files.newBufferedReader(f)) {
                int number = 0;
                for (String text = in.readLine(); text != null; text = in.readLine()) {
                    number++;
                    JsonNode n = null;
                    try {
                        n = JSON.readTree(text);
                    } catch (JsonProcessingException e) {
                        // a process that was killed leaves half a line, but then a later life may
                        // follow on its own
                        if (in.ready()) {
                            throw new IOException(
                                    f + ": line " + number + ": expected a JSON object");
                        }
                    }
                    if (n != null
                            && (!n.isObject()
                                    || !n.path("at").isNumber()
                                    || !n.path("kind").isTextual())) {
                        throw new IOException(
                                f
                                        + ": line "
                                        + number
                                        + ": expected an object with a number at and a text kind");
                    }
                    if (n != null) {
                        all.add(parse(n));
                    }
                    if (all.size() > MAX_LINE_BYTES) {
                        throw new IOException(
                                f + ": expected at most " + MAX_LINE_BYTES + " lines");
                    }
                }
            }
        }
        all.sort(Comparator.comparingDouble(Line::at));
        return all;
    }

    @Override
    public synchronized void close() throws IOException {
        out.close();
    }
}
