package tinford.fleet.control;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.ConfigurationCodec;
import tinford.fleet.config.SnapshotCodec;
import tinford.fleet.config.Update;
import tinford.fleet.config.WatchMessage;

/**
 * The current configuration as lines for followers: the latest updates, and one snapshot for
 * followers that are further behind or for which it costs fewer bytes. Lines are encoded once and
 * shared. Thread-safe; no call waits for a snapshot, which is made by the executor.
 *
 * <p>Bounds: {@link #MAX_LINES} updates of {@link #MAX_LINE_BYTES} together, and one snapshot. The
 * snapshot is kept as long as updates lead on from it, so that a burst of changes needs only one,
 * and slow followers hold few different ones.
 */
final class RevisionFeed {
    /** Updates that are retained for followers that are behind. */
    static final int MAX_LINES = 1024;

    /** Bytes of all retained updates; a follower that needs more gets a snapshot. */
    static final int MAX_LINE_BYTES = 2 << 20;

    /** A follower that needs fewer bytes of updates gets them, even if a snapshot is smaller. */
    static final int MIN_BYTES_BEHIND_FOR_SNAPSHOT = 128 << 10;

    private final SnapshotCodec snapshotCodec;
    private final Executor executor;
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private final RetainedLines updates = new RetainedLines(MAX_LINES, MAX_LINE_BYTES);
    private Configuration current = Configuration.EMPTY;

    /** Null until a follower needs one, and once updates no longer lead on from it. */
    private WatchLine snapshot;

    private boolean snapshotRequested;
    private boolean snapshotFailed;

    /**
     * @param executor makes the snapshots
     */
    RevisionFeed(String fleetId, Executor executor) {
        this.snapshotCodec = new SnapshotCodec(fleetId);
        this.executor = executor;
    }

    /** The listener is called after each change, on the thread that made it; it must not block. */
    void addListener(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Publishes a new revision.
     *
     * @param update leads to it; the lines are dropped unless it leads on from the current revision
     */
    void append(Configuration result, Update update) {
        synchronized (this) {
            if (update.fromRevision() != current.revision()) {
                clearLines();
            }
            current = result;
            add(update);
        }
        listeners.forEach(Runnable::run);
    }

    /**
     * Replaces the current configuration.
     *
     * @param latest updates that lead to the new one, oldest first
     */
    void replace(Configuration configuration, List<Update> latest) {
        synchronized (this) {
            clearLines();
            current = configuration;
            latest.forEach(this::add);
        }
        listeners.forEach(Runnable::run);
    }

    private void clearLines() {
        updates.clear();
        snapshot = null;
    }

    private void add(Update update) {
        WatchLine line = line(update.revision(), new WatchMessage.UpdateMessage(update));
        updates.append(update.fromRevision(), line);
        if (snapshot != null && !isReachable(snapshot.revision())) {
            snapshot = null;
        }
    }

    private static WatchLine line(long revision, WatchMessage message) {
        byte[] json = ConfigurationCodec.encode(message);
        byte[] bytes = Arrays.copyOf(json, json.length + 1);
        bytes[json.length] = '\n';
        return new WatchLine(revision, bytes);
    }

    synchronized Configuration current() {
        return current;
    }

    /** The oldest revision from which updates lead to the current one. */
    synchronized long oldestRetained() {
        return updates.isEmpty() ? current.revision() : updates.oldestRevision();
    }

    /** Bytes of all cached lines. */
    synchronized long cachedBytes() {
        return updates.bytes() + (snapshot == null ? 0 : snapshot.bytes().length);
    }

    /** Whether a follower at that revision has everything that this server has. */
    synchronized boolean isCurrent(long revision) {
        return revision >= current.revision();
    }

    private boolean isReachable(long revision) {
        return revision == current.revision() || updates.contains(revision);
    }

    /**
     * The next line for a follower at that revision.
     *
     * @return null if the follower is current or ahead of this server, and while a snapshot is
     *     being made, after which the listeners are called
     */
    synchronized WatchLine next(long revision) {
        if (isCurrent(revision)) {
            return null;
        }
        WatchLine update = updates.from(revision);
        if (update != null && !isSnapshotShorter(revision)) {
            return update;
        }
        if (snapshot == null) {
            requestSnapshot();
        }
        return snapshot;
    }

    /**
     * Whether a snapshot takes the follower further for fewer bytes, as far as is known. A follower
     * that lacks only the latest update keeps up, and does not wait for a snapshot.
     */
    private boolean isSnapshotShorter(long revision) {
        long bytesBehind = updates.bytesFrom(revision);
        if (updates.isLatest(revision) || bytesBehind <= MIN_BYTES_BEHIND_FOR_SNAPSHOT) {
            return false;
        }
        if (snapshot == null) {
            return !snapshotFailed; // unknown until it is made
        }
        long savedBytes = bytesBehind - updates.bytesFrom(snapshot.revision());
        return snapshot.revision() > revision && snapshot.bytes().length < savedBytes;
    }

    private void requestSnapshot() {
        if (snapshotRequested) {
            return;
        }
        try {
            executor.execute(this::makeSnapshot);
            snapshotRequested = true;
        } catch (RejectedExecutionException e) {
            snapshotFailed = true;
            ControlLog.snapshotFailed(e); // the server is being closed
        }
    }

    private void makeSnapshot() {
        WatchLine made = encodeSnapshot(current());
        synchronized (this) {
            snapshotRequested = false;
            snapshotFailed = made == null;
            if (made == null) {
                return; // tried again at the next heartbeat of a follower that needs it
            }
            if (isReachable(made.revision())) {
                snapshot = made;
            }
        }
        listeners.forEach(Runnable::run);
    }

    /** Returns null, and logs why, if the snapshot can't be made. */
    private WatchLine encodeSnapshot(Configuration configuration) {
        long revision = configuration.revision();
        try {
            byte[] data = snapshotCodec.encode(configuration);
            return line(revision, new WatchMessage.SnapshotMessage(revision, data));
        } catch (RuntimeException e) {
            ControlLog.snapshotFailed(e);
            return null;
        }
    }
}
