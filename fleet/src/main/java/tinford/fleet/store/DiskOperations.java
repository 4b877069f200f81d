package tinford.fleet.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * The steps of a write to a folder, each by itself, so that a test can stop between any two of
 * them.
 */
interface DiskOperations {
    /** Into a new file, which may be cut short by whatever stops it. */
    void write(Path file, ByteBuffer bytes) throws IOException;

    /** Returns once what the file holds lasts. */
    void force(Path file) throws IOException;

    /** In one step, in place of what had that name. */
    void rename(Path from, Path to) throws IOException;

    /** Returns once the names in the folder last, where the platform can do that. */
    void forceFolder(Path folder) throws IOException;

    /** No harm where there is none. */
    void delete(Path file) throws IOException;

    /** The platform's own. */
    final class Real implements DiskOperations {
        @Override
        public void write(Path file, ByteBuffer bytes) throws IOException {
            try (FileChannel to =
                    FileChannel.open(
                            file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
                while (bytes.hasRemaining()) {
                    to.write(bytes);
                }
            }
        }

        @Override
        public void force(Path file) throws IOException {
            try (FileChannel of = FileChannel.open(file, StandardOpenOption.WRITE)) {
                of.force(true);
            }
        }

        @Override
        public void rename(Path from, Path to) throws IOException {
            Files.move(from, to, StandardCopyOption.ATOMIC_MOVE);
        }

        @Override
        public void forceFolder(Path folder) throws IOException {
            FileChannel of;
            try {
                of = FileChannel.open(folder, StandardOpenOption.READ);
            } catch (IOException none) {
                return; // a platform that opens no folders, such as Windows, keeps its names by
                // itself
            }
            try (of) {
                of.force(true);
            }
        }

        @Override
        public void delete(Path file) throws IOException {
            Files.deleteIfExists(file);
        }
    }
}
