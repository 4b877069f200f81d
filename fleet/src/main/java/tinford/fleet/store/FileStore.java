package tinford.fleet.store;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/**
 * A store in one file of a folder. A write goes to a temporary file, which is forced and renamed
 * over the old one; then the folder is forced. One process at a time may write; any number may read
 * meanwhile, as a read changes nothing in the folder. Takes at most twice the largest content on
 * the disk, and once in memory during a read or write.
 */
public final class FileStore implements Store {
    private static final String TEMPORARY_SUFFIX = ".tmp";
    private static final int MAX_ARRAY_BYTES = Integer.MAX_VALUE - 64;

    private final Path folder;
    private final Path file;
    private final Path temporaryFile;
    private final int maxContentBytes;
    private final double maxFutureMs;
    private final DiskOperations disk;
    private boolean closed;

    /**
     * @param name of the file, without a folder
     * @param maxFutureMs how far in the future a content may be dated, for clocks that were set
     *     back
     */
    public FileStore(Path folder, String name, int maxContentBytes, double maxFutureMs) {
        this(folder, name, maxContentBytes, maxFutureMs, new DiskOperations.Real());
    }

    FileStore(
            Path folder,
            String name,
            int maxContentBytes,
            double maxFutureMs,
            DiskOperations disk) {
        if (name.isEmpty() || !Path.of(name).getFileName().toString().equals(name)) {
            throw new IllegalArgumentException(
                    "store name '" + name + "': expected a file name without folders");
        }
        if (maxContentBytes < 0 || maxContentBytes > MAX_ARRAY_BYTES || !(maxFutureMs >= 0)) {
            throw new IllegalArgumentException(
                    "store " + name + ": largest and ahead expected not negative");
        }
        this.folder = folder;
        this.file = folder.resolve(name);
        this.temporaryFile = folder.resolve(name + TEMPORARY_SUFFIX);
        this.maxContentBytes = maxContentBytes;
        this.maxFutureMs = maxFutureMs;
        this.disk = disk;
    }

    @Override
    public synchronized ReadResult read(double nowMs) {
        int maxFileBytes = ChecksummedFile.HEADER_BYTES + maxContentBytes;
        try (InputStream input = Files.newInputStream(file)) {
            // one byte more than allowed, to recognize a larger file without reading all of it
            byte[] bytes = input.readNBytes(maxFileBytes + 1);
            if (bytes.length > maxFileBytes) {
                return absent("too long: more than " + maxFileBytes + " bytes");
            }
            ReadResult result = ChecksummedFile.decode(bytes, nowMs, maxFutureMs, maxContentBytes);
            return result.content() != null ? result : absent(result.absenceReason());
        } catch (NoSuchFileException e) {
            return absent("none");
        } catch (IOException | SecurityException e) {
            return absent("can't be read: " + e.getClass().getSimpleName());
        }
    }

    private ReadResult absent(String reason) {
        return ReadResult.absent(file + ": " + reason);
    }

    @Override
    public synchronized void write(byte[] content, double nowMs) throws IOException {
        if (closed) {
            throw new IOException(file + ": closed");
        }
        if (content.length > maxContentBytes) {
            throw new IOException(
                    file
                            + ": content of "
                            + content.length
                            + " bytes, expected at most "
                            + maxContentBytes);
        }
        try {
            disk.delete(temporaryFile);
            disk.write(temporaryFile, ByteBuffer.wrap(ChecksummedFile.encode(content, nowMs)));
            disk.force(temporaryFile);
            disk.rename(temporaryFile, file);
            disk.forceFolder(folder);
        } catch (IOException e) {
            deleteTemporaryFile();
            throw e;
        }
    }

    /** After a failed write, which was not acknowledged. */
    private void deleteTemporaryFile() {
        try {
            disk.delete(temporaryFile);
        } catch (IOException | RuntimeException e) {
            return; // the next write deletes the file or fails itself
        }
    }

    @Override
    public synchronized void close() {
        closed = true;
    }
}
