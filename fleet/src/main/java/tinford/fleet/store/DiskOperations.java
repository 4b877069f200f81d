package tinford.fleet.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The single steps of a durable write, so that a test can interrupt it between any two of them. */
interface DiskOperations {
    /** Writes a new file, which an interruption may leave cut short. */
    void write(Path file, ByteBuffer bytes) throws IOException;

    /** Returns once the content of the file is durable. */
    void force(Path file) throws IOException;

    /** Atomically replaces the file of the new name, if there is one. */
    void rename(Path from, Path to) throws IOException;

    /** Returns once the names in the folder are durable, where the platform can force a folder. */
    void forceFolder(Path folder) throws IOException;

    /** Deletes the file if it exists. */
    void delete(Path file) throws IOException;

    /** The operations of the file system. */
    final class Real implements DiskOperations {
        @Override
        public void write(Path file, ByteBuffer bytes) throws IOException {
            try (FileChannel channel =
                    FileChannel.open(
                            file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
                while (bytes.hasRemaining()) {
                    channel.write(bytes);
                }
            }
        }

        @Override
        public void force(Path file) throws IOException {
            try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
                channel.force(true);
            }
        }

        @Override
        public void rename(Path from, Path to) throws IOException {
            Files.move(from, to, StandardCopyOption.ATOMIC_MOVE);
        }

        @Override
        public void forceFolder(Path folder) throws IOException {
            FileChannel channel;
            try {
                channel = FileChannel.open(folder, StandardOpenOption.READ);
            } catch (IOException unsupported) {
                return; // Windows opens no folders, and makes names durable by itself
            }
            try (channel) {
                channel.force(true);
            }
        }

        @Override
        public void delete(Path file) throws IOException {
            Files.deleteIfExists(file);
        }
    }
}
