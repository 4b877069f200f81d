package tinford.fleet.control;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import tinford.fleet.control.ProposalResult.CommitStatus;
import tinford.fleet.control.ProposalResult.Unavailable;

/** Proposals that were made at this server and are not decided yet, by id. Thread-safe. */
final class PendingProposals {
    /** The largest number of undecided proposals. */
    static final int CAPACITY = 64;

    private final Map<String, CompletableFuture<ProposalResult>> results = new HashMap<>();

    /**
     * The result of a new proposal. It is already complete, as unavailable, if too many proposals
     * are pending or one with the same id is; the proposer then retries later.
     */
    CompletableFuture<ProposalResult> add(String id) {
        CompletableFuture<ProposalResult> result = new CompletableFuture<>();
        synchronized (this) {
            if (results.size() >= CAPACITY) {
                result.complete(
                        new Unavailable(
                                CommitStatus.NOT_COMMITTED,
                                CAPACITY + " proposals wait here already"));
                return result;
            }
            if (results.putIfAbsent(id, result) != null) {
                result.complete(
                        new Unavailable(
                                CommitStatus.UNKNOWN, "a proposal with this id waits already"));
                return result;
            }
        }
        result.whenComplete((decided, failure) -> remove(id, result));
        return result;
    }

    private synchronized void remove(String id, CompletableFuture<ProposalResult> result) {
        results.remove(id, result);
    }

    /** Completes the proposal with this id, if it was made at this server. */
    void complete(String id, ProposalResult decision) {
        CompletableFuture<ProposalResult> result;
        synchronized (this) {
            result = results.get(id);
        }
        if (result != null) {
            result.complete(decision);
        }
    }
}
