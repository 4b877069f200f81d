package tinford.fleet.run;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Lock on a file of the log's folder, by which a gateway learns whether an earlier process of it
 * still runs. Held until the process ends.
 */
final class IncarnationLock {
    private static final String FILE_NAME = "life.lock";

    /** Referenced, as an unreferenced channel is closed, which releases its lock. */
    private final FileChannel channel;

    private final boolean acquired;

    private IncarnationLock(FileChannel channel, boolean acquired) {
        this.channel = channel;
        this.acquired = acquired;
    }

    /** Never blocks; see {@link #isAcquired}. */
    static IncarnationLock tryAcquire(Path folder) throws IOException {
        FileChannel channel =
                FileChannel.open(
                        folder.resolve(FILE_NAME),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        return new IncarnationLock(channel, channel.tryLock() != null);
    }

    /** Whether no earlier process of this gateway held the lock. */
    boolean isAcquired() {
        return acquired && channel.isOpen();
    }
}
