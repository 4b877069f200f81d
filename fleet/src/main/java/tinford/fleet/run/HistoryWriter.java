package tinford.fleet.run;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import tinford.fleet.membership.Incarnation;

/**
 * Appends the events of this process in the fleet to a file, one JSON object a line: {@code at}
 * (ms, monotonic), {@code wall} (ms, by its own clock), {@code gateway}, {@code life} (its
 * incarnation's start), {@code kind} and the fields of that kind. A thread of its own writes; lines
 * that find the queue full are dropped, and counted in the next line as {@code dropped}.
 */
public final class HistoryWriter implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger("tinford.fleet");
    private static final int QUEUE_CAPACITY = 4096;
    private static final double NANOS_PER_MS = 1e6;

    private final ArrayBlockingQueue<Map<String, Object>> queue =
            new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final ObjectMapper json = new ObjectMapper();

    /** Null where nothing is written. */
    private final BufferedWriter file;

    private final Incarnation incarnation;
    private long dropped;

    private HistoryWriter(BufferedWriter file, Incarnation incarnation) {
        this.file = file;
        this.incarnation = incarnation;
    }

    /**
     * Opens the file and starts the writing thread.
     *
     * @param path null or empty: nothing is written
     */
    public static HistoryWriter at(String path, Incarnation incarnation) throws IOException {
        if (path == null || path.isEmpty()) {
            return new HistoryWriter(null, incarnation);
        }
        BufferedWriter file =
                Files.newBufferedWriter(
                        Path.of(path), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        HistoryWriter history = new HistoryWriter(file, incarnation);
        Thread thread = new Thread(history::writeLines, "history");
        thread.setDaemon(true);
        thread.start();
        return history;
    }

    /**
     * Queues a line; never blocks. Called by one thread.
     *
     * @param nowMs the process's wall clock
     * @param fields name, value, name, value ...
     */
    public void add(double nowMs, String kind, Object... fields) {
        if (file == null) {
            return;
        }
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("at", System.nanoTime() / NANOS_PER_MS);
        line.put("wall", nowMs);
        line.put("gateway", incarnation.gateway());
        line.put("life", incarnation.start());
        line.put("kind", kind);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.put((String) fields[i], fields[i + 1]);
        }
        if (dropped > 0) {
            line.put("dropped", dropped);
        }
        dropped = queue.offer(line) ? 0 : dropped + 1;
    }

    private void writeLines() {
        try (file) {
            while (true) {
                file.write(json.writeValueAsString(queue.take()));
                file.newLine();
                if (queue.isEmpty()) {
                    file.flush();
                }
            }
        } catch (IOException | InterruptedException e) {
            LOG.log(Level.WARNING, "history writing ended: error=" + e);
        }
    }

    /** Discards what is queued. */
    @Override
    public void close() {
        queue.clear();
    }
}
