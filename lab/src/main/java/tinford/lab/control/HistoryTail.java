package tinford.lab.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;

/** Reads a history while it is being written: the whole lines that are new since the last look. */
final class HistoryTail {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int CHUNK_BYTES = 1 << 16;
    private final Path file;
    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private long position;

    HistoryTail(Path file) {
        this.file = file;
    }

    void read(Consumer<JsonNode> each) throws IOException {
        if (!Files.exists(file)) {
            return;
        }
        try (RandomAccessFile in = new RandomAccessFile(file.toFile(), "r")) {
            in.seek(position);
            byte[] chunk = new byte[CHUNK_BYTES];
            for (int count = in.read(chunk); count > 0; count = in.read(chunk)) {
                position += count;
                take(chunk, count, each);
            }
        }
    }

    private void take(byte[] chunk, int count, Consumer<JsonNode> each) throws IOException {
        int from = 0;
        for (int i = 0; i < count; i++) {
            if (chunk[i] == '\n') {
                partial.write(chunk, from, i - from);
                each.accept(JSON.readTree(partial.toString(StandardCharsets.UTF_8)));
                partial.reset();
                from = i + 1;
            }
        }
        partial.write(chunk, from, count - from);
    }
}
