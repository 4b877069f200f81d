package tinford.fleet.follow;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.InvalidConfigurationException;
import tinford.fleet.config.SnapshotCodec;
import tinford.fleet.store.FileStore;
import tinford.fleet.store.Store;

/**
 * The last good configuration on disk, so that a process can start without any control server. A
 * write that is interrupted at any step leaves the previous configuration. Not thread-safe.
 */
public final class SnapshotFile implements AutoCloseable {
    /**
     * The result of a read.
     *
     * @param configuration null if there is no usable one
     * @param problem why there is none, in one line; null if there is one
     */
    public record Loaded(Configuration configuration, String problem) {}

    private static final String NAME = "configuration";
    private static final int MAX_CONTENT_BYTES = 8 << 20;

    /** Contents are ordered by revision, so a clock that was set back does not matter. */
    private static final double UNLIMITED_CLOCK_SKEW_MS = Double.POSITIVE_INFINITY;

    private final Path lockFile;
    private final Store store;
    private final SnapshotCodec codec;
    private FileChannel lock;

    /**
     * For the configuration of one fleet.
     *
     * @param folder survives restarts
     */
    public SnapshotFile(Path folder, String fleetId) {
        this.lockFile = folder.resolve(NAME + ".lock");
        this.store = new FileStore(folder, NAME, MAX_CONTENT_BYTES, UNLIMITED_CLOCK_SKEW_MS);
        this.codec = new SnapshotCodec(fleetId);
    }

    /** Never fails: a file that is truncated, damaged or of another fleet is not usable. */
    public Loaded read() {
        Store.ReadResult found = store.read(System.currentTimeMillis());
        if (found.content() == null) {
            return new Loaded(null, found.absenceReason());
        }
        try {
            return new Loaded(codec.decode(found.content()), null);
        } catch (InvalidConfigurationException e) {
            return new Loaded(null, e.getMessage());
        }
    }

    /**
     * Returns when the configuration is durable.
     *
     * @throws IOException if it can't be written, or if another process has the folder, as during a
     *     handover; the previous configuration is still there
     */
    public void write(Configuration configuration) throws IOException {
        if (lock == null) {
            lock = acquireLock();
        }
        store.write(codec.encode(configuration), System.currentTimeMillis());
    }

    private FileChannel acquireLock() throws IOException {
        FileChannel channel =
                FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            if (channel.tryLock() != null) {
                return channel;
            }
        } catch (OverlappingFileLockException e) {
            channel.close();
            throw new IOException(lockFile + ": held within this process", e);
        }
        channel.close();
        throw new IOException(lockFile + ": held by another process");
    }

    @Override
    public void close() throws IOException {
        store.close();
        if (lock != null) {
            lock.close();
        }
    }
}
