package tinford.fleet.control;

import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The latest updates as lines, each by the revision that it leads on from. Bounded in number and in
 * bytes; the oldest are evicted. Not thread-safe.
 */
final class RetainedLines {
    private final int maxLines;
    private final int maxBytes;
    private final NavigableMap<Long, RetainedLine> byRevision = new TreeMap<>();
    private long appendedBytes;
    private long bytes;

    /**
     * @param offset bytes of all lines that were appended before this one
     */
    private record RetainedLine(WatchLine line, long offset) {}

    RetainedLines(int maxLines, int maxBytes) {
        this.maxLines = maxLines;
        this.maxBytes = maxBytes;
    }

    void clear() {
        byRevision.clear();
        bytes = 0;
    }

    /** Adds the latest line; evicts the oldest ones beyond the bounds. */
    void append(long fromRevision, WatchLine line) {
        byRevision.put(fromRevision, new RetainedLine(line, appendedBytes));
        appendedBytes += line.bytes().length;
        bytes += line.bytes().length;
        while (byRevision.size() > maxLines || bytes > maxBytes) {
            bytes -= byRevision.pollFirstEntry().getValue().line().bytes().length;
        }
    }

    /** The line that leads on from a revision; null if it is not retained. */
    WatchLine from(long revision) {
        RetainedLine retained = byRevision.get(revision);
        return retained == null ? null : retained.line();
    }

    boolean contains(long revision) {
        return byRevision.containsKey(revision);
    }

    /** Whether only the latest line leads on from this revision. */
    boolean isLatest(long revision) {
        return byRevision.lastKey() == revision;
    }

    boolean isEmpty() {
        return byRevision.isEmpty();
    }

    /** The oldest revision that a line leads on from. */
    long oldestRevision() {
        return byRevision.firstKey();
    }

    /** Bytes of all lines. */
    long bytes() {
        return bytes;
    }

    /** Bytes of the lines from a revision to the latest one; 0 if none leads on from it. */
    long bytesFrom(long revision) {
        RetainedLine retained = byRevision.get(revision);
        return retained == null ? 0 : appendedBytes - retained.offset();
    }
}
