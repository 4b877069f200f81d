package tinford.lab.control;

import static org.testng.Assert.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** A history that is read while it is written. */
public class HistoryTailTest {
    @Test
    public void readsWholeLinesOnce() throws Exception {
        Path file = Files.createTempFile("history", ".jsonl");
        try {
            List<String> kinds = new ArrayList<>();
            HistoryTail tail = new HistoryTail(file);
            Files.writeString(file, "{\"kind\":\"a\"}\n{\"kind\":");
            tail.read(line -> kinds.add(line.path("kind").asText()));
            assertEquals(kinds, List.of("a"));
            Files.writeString(file, "\"b\"}\n", StandardOpenOption.APPEND);
            tail.read(line -> kinds.add(line.path("kind").asText()));
            tail.read(line -> kinds.add(line.path("kind").asText()));
            assertEquals(kinds, List.of("a", "b"));
        } finally {
            Files.delete(file);
        }
    }

    @Test
    public void aFileThatIsNotThereYetHasNoLines() throws Exception {
        new HistoryTail(Path.of("no-such-history.jsonl"))
                .read(
                        line -> {
                            throw new AssertionError(line.toString());
                        });
    }
}
