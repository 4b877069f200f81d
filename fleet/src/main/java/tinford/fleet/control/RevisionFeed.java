package tinford.fleet.control;

import java.util.Arrays;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
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
 * followers that are further behind, or whom it costs fewer bytes. Lines are encoded once and
 * shared. Thread-safe; no call waits for a snapshot, which is made by the executor.
 *
 * <p>Bounds: {@link #MAX_LINES} updates of {@link #MAX_LINE_BYTES} together, and one snapshot. The
 * snapshot is kept as long as updates lead on from it, so that a burst of changes makes one, and
 * slow followers hold few different ones.
 */
final class RevisionFeed {
    /** Updates kept for followers that are behind. */
    static final int MAX_LINES = 1024;

    /** Bytes of all updates kept; a follower that lacks more gets a snapshot. */
    static final int MAX_LINE_BYTES = 2 << 20;

    /** A follower that lacks fewer bytes of updates gets them, whatever a snapshot would cost. */
    static final int MIN_SNAPSHOT_SAVING_BYTES = 128 << 10;

    private final SnapshotCodec snapshotCodec;
    private final Executor executor;
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

    /** By the revision that they lead on from. */
    private final NavigableMap<Long, RetainedLine> updates = new TreeMap<>();

    private Configuration current = Configuration.EMPTY;
    private long appendedBytes;
    private long updateBytes;
    private WatchLine snapshot;
    private boolean snapshotRequested;
    private boolean snapshotFailed;

    /**
     * @param offset bytes of all updates that were appended before this one
     */
    private record RetainedLine(WatchLine line, long offset) {}

    RevisionFeed(String fleetId, Executor executor) {
        this.snapshotCodec = new SnapshotCodec(fleetId);
        this.executor = executor;
    }

    /** Called after each change, on the thread that made it; must not wait. */
    void addListener(Runnable listener) {
        listeners.add(listener);
    }

    /** A new revision that leads on from the current one. */
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
     * A configuration in place of the current one.
     *
     * @param latest updates that lead to it, oldest first
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
        updateBytes = 0;
        snapshot = null;
    }

    private void add(Update update) {
        WatchLine line = line(update.revision(), new WatchMessage.UpdateMessage(update));
        updates.put(update.fromRevision(), new RetainedLine(line, appendedBytes));
        appendedBytes += line.bytes().length;
        updateBytes += line.bytes().length;
        while (updates.size() > MAX_LINES || updateBytes > MAX_LINE_BYTES) {
            updateBytes -= updates.pollFirstEntry().getValue().line().bytes().length;
        }
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
        return updates.isEmpty() ? current.revision() : updates.firstKey();
    }

    /** Bytes of all lines that are kept. */
    synchronized long cachedBytes() {
        return updateBytes + (snapshot == null ? 0 : snapshot.bytes().length);
    }

    /** Whether a follower at that revision lacks nothing that this server has. */
    synchronized boolean isCurrent(long revision) {
        return revision >= current.revision();
    }

    private boolean isReachable(long revision) {
        return revision == current.revision() || updates.containsKey(revision);
    }

    /**
     * The next line for a follower at that revision.
     *
     * @return null where it lacks nothing, also where it is ahead of this server, and while a
     *     snapshot is being made, after which the listeners are called
     */
    synchronized WatchLine next(long revision) {
        if (isCurrent(revision)) {
            return null;
        }
        RetainedLine update = updates.get(revision);
        if (update != null && !snapshotIsShorter(revision)) {
            return update.line();
        }
        if (snapshot == null) {
            requestSnapshot();
        }
        return snapshot;
    }

    /**
     * Whether a snapshot takes a follower further for fewer bytes, as far as is known. One that
     * lacks the latest update alone keeps up, and does not wait for a snapshot.
     */
    private boolean snapshotIsShorter(long revision) {
        long bytesBehind = bytesFrom(revision);
        boolean keepsUp = updates.lastKey() == revision;
        if (keepsUp || bytesBehind <= MIN_SNAPSHOT_SAVING_BYTES) {
            return false;
        }
        if (snapshot == null) {
            return !snapshotFailed; // it is made, and compared then
        }
        long savedBytes = bytesBehind - bytesFrom(snapshot.revision());
        return snapshot.revision() > revision && snapshot.bytes().length < savedBytes;
    }

    /** Bytes of the updates that lead from a reachable revision to the current one. */
    private long bytesFrom(long revision) {
        return revision == current.revision() ? 0 : appendedBytes - updates.get(revision).offset();
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
        Configuration configuration = current();
        WatchLine line = null;
        try {
            byte[] data = snapshotCodec.encode(configuration);
            long revision = configuration.revision();
            line = line(revision, new WatchMessage.SnapshotMessage(revision, data));
        } catch (RuntimeException e) {
            ControlLog.snapshotFailed(e);
        }
        synchronized (this) {
            snapshotRequested = false;
            snapshotFailed = line == null;
            if (line == null) {
                return; // tried again at the next heartbeat of a follower that needs it
            }
            if (isReachable(line.revision())) {
                snapshot = line;
            }
        }
        listeners.forEach(Runnable::run);
    }
}
