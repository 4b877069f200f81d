package tinford.fleet.store;

import java.io.IOException;

/**
 * One content of one process that outlives its restarts. Wherever a write is interrupted, a later
 * read finds either the old or the new content whole, never a mixture. An acknowledged content is
 * found unless the disk itself was replaced. Times are wall-clock times in Unix ms.
 */
public interface Store extends AutoCloseable {
    /**
     * Result of a read.
     *
     * @param content null where there is none that can be used
     * @param absenceReason one line for the log, why {@code content} is null; else null
     */
    record ReadResult(byte[] content, String absenceReason) {
        static ReadResult absent(String reason) {
            return new ReadResult(null, reason);
        }
    }

    /**
     * Reads the content. Never throws: content that can't be read, or is torn, foreign, of a later
     * format version or dated in the future, counts as absent, with the reason.
     */
    ReadResult read(double nowMs);

    /**
     * Replaces the content, and returns once the new one is durable.
     *
     * @throws IOException the disk is full, read-only or gone, or the store is closed; the previous
     *     content stays
     */
    void write(byte[] content, double nowMs) throws IOException;

    @Override
    void close();
}
