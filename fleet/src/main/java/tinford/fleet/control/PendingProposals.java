package tinford.fleet.control;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import tinford.fleet.control.ProposalResult.CommitStatus;
import tinford.fleet.control.ProposalResult.Unavailable;

/** Proposals that were made here and are not decided yet, by id. Thread-safe. */
final class PendingProposals {
    /** Proposals that wait at once. */
    static final int CAPACITY = 64;

    private final Map<String, CompletableFuture<ProposalResult>> waiting = new HashMap<>();

    /**
     * The result of the proposal: done already where too many wait, or where the same one does, as
     * then it is sent again later.
     */
    CompletableFuture<ProposalResult> add(String id) {
        CompletableFuture<ProposalResult> result = new CompletableFuture<>();
        synchronized (this) {
            if (waiting.size() >= CAPACITY) {
                result.complete(
                        new Unavailable(
                                CommitStatus.NOT_COMMITTED,
                                CAPACITY + " proposals wait here already"));
                return result;
            }
            if (waiting.putIfAbsent(id, result) != null) {
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
        waiting.remove(id, result);
    }

    /** Completes the one with that id, if it waits here. */
    void complete(String id, ProposalResult decision) {
        CompletableFuture<ProposalResult> result;
        synchronized (this) {
            result = waiting.get(id);
        }
        if (result != null) {
            result.complete(decision);
        }
    }
}
