package tinford.fleet.control;

import java.util.concurrent.CompletableFuture;
import tinford.fleet.config.Proposal;

/** The part of a control server that differs between a voter and a replica. */
interface ControlRole extends AutoCloseable {
    /**
     * Proposes a change, without blocking. The result completes within a bounded time, and never
     * exceptionally.
     */
    CompletableFuture<ProposalResult> propose(Proposal proposal);

    /** Whether this server leads the voters, to its knowledge. */
    boolean isLeader();

    /** The highest term that this server knows; 0 for a replica. */
    long term();

    /** Whether this server takes part in the voters' log; a replica, which has none, does. */
    default boolean isLogRunning() {
        return true;
    }

    /** How often this server's member of the log was started anew after a failure. */
    default int logRestarts() {
        return 0;
    }

    @Override
    void close();
}
