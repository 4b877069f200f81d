package tinford.fleet.run;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import tinford.fleet.membership.Incarnation;

/**
 * What this process did for the fleet, one JSON object a line: {@code at} (ms, monotone), {@code
 * wall} (ms, by its own clock), {@code gateway}, {@code incarnation}, {@code kind} and its fields.
 * Written by a thread of its own; what finds no room is counted and dropped.
 */
public final class HistoryWriter implements AutoCloseable {
    private static final int MOST_WAITING = 4096;
    private final ArrayBlockingQueue<Map<String, Object>> waiting =
            new ArrayBlockingQueue<>(MOST_WAITING);
    private final ObjectMapper json = new ObjectMapper();
    private final BufferedWriter to;
    private final Incarnation incarnation;
    private long dropped;

    private HistoryWriter(BufferedWriter to, Incarnation incarnation) {
        this.to = to;
        this.incarnation = incarnation;
    }

    /**
     * @param path null or empty: nothing is written
     */
    public static HistoryWriter at(String path, Incarnation incarnation) throws IOException {
        if (path == null || path.isEmpty()) {
            return new HistoryWriter(null, incarnation);
        }
        HistoryWriter h =
                new HistoryWriter(
                        Files.newBufferedWriter(
                                Path.of(path),
                                StandardOpenOption.CREATE,
                                StandardOpenOption.APPEND),
                        incarnation);
        Thread t = new Thread(h::write, "history");
        t.setDaemon(true);
        t.start();
        return h;
    }

    /**
     * @param fields name, value, name, value ...
     */
    public void add(double now, String kind, Object... fields) {
        if (to == null) {
            return;
        }
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("at", System.nanoTime() / 1e6);
        line.put("wall", now);
        line.put("gateway", incarnation.gateway());
        line.put("life", incarnation.start());
        line.put("kind", kind);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.put((String) fields[i], fields[i + 1]);
        }
        if (dropped > 0) {
            line.put("dropped", dropped);
        }
        dropped = waiting.offer(line) ? 0 : dropped + 1;
    }

    private void write() {
        try (to) {
            while (true) {
                to.write(json.writeValueAsString(waiting.take()));
                to.newLine();
                if (waiting.isEmpty()) {
                    to.flush();
                }
            }
        } catch (IOException | InterruptedException e) {
            System.getLogger("tinford.fleet")
                    .log(System.Logger.Level.WARNING, "no history is written any more: " + e);
        }
    }

    @Override
    public void close() {
        waiting.clear();
    }
}
