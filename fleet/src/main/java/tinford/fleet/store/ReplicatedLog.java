package tinford.fleet.store;

import java.util.concurrent.CompletableFuture;

/**
 * A totally ordered log replicated on a majority of its members. An acknowledged entry is never
 * lost while a majority keeps its disks. Without a majority no entry is acknowledged, and a leader
 * that was replaced acknowledges none.
 */
public interface ReplicatedLog extends AutoCloseable {
    /**
     * Interprets the entries, deterministically and alike on every member. Called by one thread, in
     * log order, once for each entry within one incarnation of the member.
     */
    interface StateMachine {
        /**
         * Applies a committed entry. Indexes rise but may skip values, which are entries of the
         * consensus library itself.
         */
        void apply(long index, byte[] entry);

        /** Returns the state after all entries applied so far; must not block. */
        byte[] snapshot();

        /** Replaces the state by a snapshot that stands for all entries up to {@code index}. */
        void restore(long index, byte[] snapshot);
    }

    /**
     * Proposes an entry, on any member. Never blocks.
     *
     * @return completes with the entry's index once a majority stores it; fails, mostly with a
     *     {@link LogAppendException}, when the entry was not appended or its fate is unknown (it
     *     may still be appended later)
     */
    CompletableFuture<Long> append(byte[] entry);

    /** Whether this member believes that it is the leader. */
    boolean isLeader();

    /** The highest term that this member knows; never falls within one incarnation. */
    long term();

    /** Whether this member takes part: not while it is closed or being started anew. */
    default boolean isRunning() {
        return true;
    }

    /** How often this member was started anew after it had ended by a failure. */
    default int restarts() {
        return 0;
    }

    @Override
    void close();
}
