package tinford.fleet.control;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import tinford.fleet.config.Configuration;
import tinford.fleet.follow.SnapshotFile;

/**
 * Saves the configuration of a replica on its disk, on a thread of its own. Of the revisions that
 * are published during a write, only the latest is written.
 */
final class SnapshotSaver implements AutoCloseable {
    private static final long CLOSE_TIMEOUT_MS = 2000;

    private final SnapshotFile file;
    private final RevisionFeed feed;
    private final ExecutorService writer =
            Executors.newSingleThreadExecutor(new DaemonThreadFactory("control-snapshot-file"));
    private final AtomicBoolean scheduled = new AtomicBoolean();

    SnapshotSaver(SnapshotFile file, RevisionFeed feed) {
        this.file = file;
        this.feed = feed;
    }

    /** Publishes the stored configuration, if it is usable. */
    void load() {
        SnapshotFile.Loaded loaded = file.read();
        if (loaded.configuration() == null) {
            ControlLog.snapshotNotLoaded(loaded.problem());
        } else {
            feed.replace(loaded.configuration(), List.of());
        }
    }

    /** Saves the current configuration soon; returns at once. */
    void scheduleSave() {
        if (!scheduled.compareAndSet(false, true)) {
            return;
        }
        try {
            writer.execute(this::save);
        } catch (RejectedExecutionException e) {
            ControlLog.snapshotNotSaved(e); // the server is being closed
        }
    }

    private void save() {
        scheduled.set(false);
        Configuration configuration = feed.current();
        try {
            file.write(configuration);
        } catch (IOException e) {
            ControlLog.snapshotNotSaved(e);
        }
    }

    /** Returns when the scheduled write is done, or after a timeout. */
    @Override
    public void close() {
        writer.shutdown();
        try {
            writer.awaitTermination(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        try {
            file.close();
        } catch (IOException e) {
            ControlLog.snapshotNotSaved(e);
        }
    }
}
