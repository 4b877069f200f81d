package tinford.fleet.control;

import java.util.concurrent.CompletableFuture;
import tinford.fleet.config.Proposal;

/** What makes a control server a voter or a replica; feeds the {@link RevisionFeed}. */
interface ControlRole extends AutoCloseable {
    /** Completes within a bounded time, never exceptionally; no call waits. */
    CompletableFuture<ProposalResult> propose(Proposal proposal);

    /** Whether this server leads the voters, as far as it knows. */
    boolean isLeader();

    /** The leader's term as this server knows it; 0 for a replica. */
    long term();

    @Override
    void close();
}
