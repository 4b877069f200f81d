package tinford.fleet.store;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/**
 * A store in one file of a folder: written beside it, forced, renamed over it, and the folder
 * forced. One process at a time writes to a name, any number read it meanwhile: a read changes
 * nothing in the folder. Holds at most twice the largest content on the disk, and that once in
 * memory while it reads or writes.
 */
public final class FileStore implements Store {
    private static final String LEFTOVER = ".tmp";
    private final Path folder;
    private final Path file;
    private final Path beside;
    private final int largest;
    private final double aheadMs;
    private final DiskOperations disk;
    private boolean closed;

    /**
     * @param largest bytes that a content may have
     * @param aheadMs how far in the future a content may be dated, for clocks that were set back
     */
    public FileStore(Path folder, String name, int largest, double aheadMs) {
        this(folder, name, largest, aheadMs, new DiskOperations.Real());
    }

    FileStore(Path folder, String name, int largest, double aheadMs, DiskOperations disk) {
        if (name.isEmpty() || !Path.of(name).getFileName().toString().equals(name)) {
            throw new IllegalArgumentException(
                    "store name '" + name + "': expected a file name without folders");
        }
        if (largest < 0 || largest > Integer.MAX_VALUE - 64 || !(aheadMs >= 0)) {
            throw new IllegalArgumentException(
                    "store " + name + ": largest and ahead expected not negative");
        }
        this.folder = folder;
        this.file = folder.resolve(name);
        this.beside = folder.resolve(name + LEFTOVER);
        this.largest = largest;
        this.aheadMs = aheadMs;
        this.disk = disk;
    }

    @Override
    public synchronized Found read(double now) {
        // one byte more than may be there, so that what is too long is seen without being read
        // whole
        try (InputStream from = Files.newInputStream(file)) {
            byte[] bytes = from.readNBytes(ChecksummedFile.HEAD + largest + 1);
            if (bytes.length > ChecksummedFile.HEAD + largest) {
                return new Found(
                        null,
                        file
                                + ": too long: more than "
                                + (ChecksummedFile.HEAD + largest)
                                + " bytes");
            }
            Found found = ChecksummedFile.open(bytes, now, aheadMs, largest);
            return found.why() == null ? found : new Found(null, file + ": " + found.why());
        } catch (NoSuchFileException none) {
            return new Found(null, file + ": none");
        } catch (IOException | SecurityException e) {
            return new Found(null, file + ": can't be read: " + e.getClass().getSimpleName());
        }
    }

    @Override
    public synchronized void write(byte[] content, double now) throws IOException {
        if (closed) {
            throw new IOException(file + ": closed");
        }
        if (content.length > largest) {
            throw new IOException(
                    file
                            + ": content of "
                            + content.length
                            + " bytes, expected at most "
                            + largest);
        }
        try {
            disk.delete(beside);
            disk.write(beside, ByteBuffer.wrap(ChecksummedFile.seal(content, now)));
            disk.force(beside);
            disk.rename(beside, file);
            disk.forceFolder(folder);
        } catch (IOException e) {
            removeTemporaryFile();
            throw e;
        }
    }

    /** Removes what a failed write left; it was never acknowledged. */
    private void removeTemporaryFile() {
        try {
            disk.delete(beside);
        } catch (IOException | RuntimeException e) {
            return; // it only takes room, and the next write removes it or fails
        }
    }

    @Override
    public synchronized void close() {
        closed = true;
    }
}
