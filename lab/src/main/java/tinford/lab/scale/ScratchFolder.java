package tinford.lab.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A folder that lasts as long as one sample. */
final class ScratchFolder implements AutoCloseable {
    private final Path path;

    ScratchFolder() throws IOException {
        path = Files.createTempDirectory("scale");
    }

    Path path() {
        return path;
    }

    @Override
    public void close() {
        try (Stream<Path> found = Files.walk(path)) {
            List<Path> all = found.sorted(Comparator.reverseOrder()).toList();
            for (Path each : all) {
                Files.deleteIfExists(each);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
