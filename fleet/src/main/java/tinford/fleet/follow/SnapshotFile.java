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
 * The last good configuration on the disk, so that a process starts without any control server. A
 * write that was stopped at any step leaves the one before. Not thread-safe.
 */
public final class SnapshotFile implements AutoCloseable {
    /**
     * What was found.
     *
     * @param configuration null where there is none that can be used
     * @param problem why there is none, in one line; null where there is one
     */
    public record Loaded(Configuration configuration, String problem) {}

    private static final String NAME = "configuration";
    private static final int MAX_CONTENT_BYTES = 8 << 20;

    /** Revisions order the contents; how a clock was set since does not matter. */
    private static final double UNLIMITED_CLOCK_SKEW_MS = Double.POSITIVE_INFINITY;

    private final Path lockFile;
    private final Store store;
    private final SnapshotCodec codec;
    private FileChannel lock;

    /** In a folder that lasts, for the configuration of one fleet. */
    public SnapshotFile(Path folder, String fleetId) {
        this.lockFile = folder.resolve(NAME + ".lock");
        this.store = new FileStore(folder, NAME, MAX_CONTENT_BYTES, UNLIMITED_CLOCK_SKEW_MS);
        this.codec = new SnapshotCodec(fleetId);
    }

    /** Never fails: what is torn, damaged, of another fleet or of a later version is told. */
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
     * Returns once it lasts; where it fails, the one before is still there. Fails also while
     * another process of the same gateway writes there, as one does that is being replaced.
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
