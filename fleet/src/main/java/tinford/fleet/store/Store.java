package tinford.fleet.store;

import java.io.IOException;

/**
 * One content of one process that lasts over its restarts. Whatever stops a write at whichever
 * step, a later read finds the old content or the new one whole, never a mixture; what was written
 * and acknowledged is found, unless the disk itself was replaced.
 */
public interface Store extends AutoCloseable {
    /** What was found, and why there is nothing where it is null: in one line, for the log. */
    record Found(byte[] content, String why) {}

    /**
     * Never fails: what can't be read, is torn, foreign, of a later version or dated in the future
     * counts as absent, and is told.
     */
    Found read(double now);

    /**
     * Returns once the content lasts. Fails whole, and leaves what was there, when the disk is
     * full, read-only or gone.
     */
    void write(byte[] content, double now) throws IOException;

    @Override
    void close();
}
