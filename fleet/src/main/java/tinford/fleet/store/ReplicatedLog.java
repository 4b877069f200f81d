package tinford.fleet.store;

import java.util.concurrent.CompletableFuture;

/**
 * Entries in one order, kept by a majority of the members. An entry that was acknowledged is never
 * lost while a majority keeps its disks; without a majority nothing is acknowledged; a leader that
 * was replaced acknowledges nothing more.
 */
public interface ReplicatedLog extends AutoCloseable {
    /**
     * What the entries mean, on every member alike. Called by one thread, in order, each entry once
     * a life.
     */
    interface Reader {
        /** Indexes rise; some may be left out (the library's own). */
        void apply(long index, byte[] entry);

        /** Everything that the entries so far have come to; must not wait. */
        byte[] snapshot();

        /** In place of all entries up to that index. */
        void restore(long index, byte[] snapshot);
    }

    /**
     * Offers an entry, from any member. No call waits.
     *
     * @return completes with the entry's index once a majority has it; fails when it surely or
     *     perhaps was not taken (it may still come)
     */
    CompletableFuture<Long> append(byte[] entry);

    /** Whether this member leads, as far as it knows. */
    boolean leads();

    /** The leader's term as this member knows it; never falls within a life. */
    long term();

    @Override
    void close();
}
