package tinford.fleet.control;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.ConfigurationCodec;
import tinford.fleet.config.ConfigurationLimits;
import tinford.fleet.config.InvalidConfigurationException;
import tinford.fleet.config.Outcome;
import tinford.fleet.config.Proposal;
import tinford.fleet.config.Rejection;
import tinford.fleet.config.RevisionHistory;
import tinford.fleet.config.Update;
import tinford.fleet.config.ValidationError;
import tinford.fleet.control.ControlSettings.VoterSettings;
import tinford.fleet.control.ProposalResult.CommitStatus;
import tinford.fleet.control.ProposalResult.Decided;
import tinford.fleet.control.ProposalResult.Unavailable;
import tinford.fleet.store.RaftLog;
import tinford.fleet.store.ReplicatedLog;

/**
 * A member of the quorum: proposals become entries of the replicated log, and each member applies
 * them to its {@link RevisionHistory} in the log's order.
 */
final class Voter implements ControlRole {
    /** Opens the log with the state machine that applies its entries. */
    interface LogFactory {
        ReplicatedLog create(ReplicatedLog.StateMachine stateMachine) throws IOException;
    }

    /** Log entries between two snapshots of the log. */
    private static final long SNAPSHOT_INTERVAL_ENTRIES = 256;

    private final RevisionFeed feed;
    private final RevisionHistory history;
    private final PendingProposals pending = new PendingProposals();
    private final long decisionTimeoutMs;
    private final ReplicatedLog log;

    Voter(String fleetId, RevisionFeed feed, long decisionTimeoutMs, LogFactory logFactory)
            throws IOException {
        this.feed = feed;
        this.history = new RevisionHistory(fleetId);
        this.decisionTimeoutMs = decisionTimeoutMs;
        this.log = logFactory.create(new HistoryStateMachine());
    }

    /** The bounds and timeouts of a voter's log. */
    static RaftLog.Bounds logBounds(VoterSettings settings) {
        return new RaftLog.Bounds(
                settings.decisionTimeoutMs(),
                PendingProposals.CAPACITY,
                ConfigurationLimits.MAX_PROPOSAL_BYTES,
                SNAPSHOT_INTERVAL_ENTRIES,
                settings.leaderTimeoutMs());
    }

    @Override
    public CompletableFuture<ProposalResult> propose(Proposal proposal) {
        byte[] entry = ConfigurationCodec.encode(proposal);
        if (entry.length > ConfigurationLimits.MAX_PROPOSAL_BYTES) {
            return CompletableFuture.completedFuture(new Decided(tooLarge()));
        }
        CompletableFuture<ProposalResult> result = pending.add(proposal.id());
        if (result.isDone()) {
            return result;
        }
        result.completeOnTimeout(timedOut(), decisionTimeoutMs, TimeUnit.MILLISECONDS);
        log.append(entry)
                .whenComplete(
                        (index, failure) -> {
                            if (failure != null) {
                                result.complete(notAppended(failure));
                            }
                        });
        return result;
    }

    private Unavailable timedOut() {
        return new Unavailable(
                CommitStatus.UNKNOWN,
                "not decided within "
                        + decisionTimeoutMs
                        + " ms: no quorum of voters, or a slow one");
    }

    private static Unavailable notAppended(Throwable failure) {
        return new Unavailable(CommitStatus.UNKNOWN, failure.getMessage());
    }

    /** An entry may be larger than the request: it has the fields that were left out there. */
    private static Outcome tooLarge() {
        String expected =
                "at most "
                        + ConfigurationLimits.MAX_PROPOSAL_BYTES
                        + " bytes with all fields written out";
        return new Outcome.Rejected(
                new Rejection(List.of(new ValidationError("changes", expected))));
    }

    @Override
    public boolean isLeader() {
        return log.isLeader();
    }

    @Override
    public long term() {
        return log.term();
    }

    @Override
    public boolean isLogRunning() {
        return log.isRunning();
    }

    @Override
    public int logRestarts() {
        return log.restarts();
    }

    @Override
    public void close() {
        log.close();
    }

    /** Applies the log's entries to the history; on the log's thread. */
    private final class HistoryStateMachine implements ReplicatedLog.StateMachine {
        @Override
        public void apply(long index, byte[] entry) {
            Proposal proposal;
            try {
                proposal = ConfigurationCodec.decodeProposal(entry);
            } catch (InvalidConfigurationException e) {
                ControlLog.logEntryUnreadable(index, e); // skipped on every member alike
                return;
            }
            long before = history.current().revision();
            Outcome outcome = history.propose(proposal);
            publishSince(before);
            reportOutcome(proposal, outcome);
        }

        private void publishSince(long before) {
            Configuration current = history.current();
            if (current.revision() == before) {
                return;
            }
            Optional<List<Update>> updates = history.updatesSince(before);
            if (updates.isPresent()) {
                updates.get().forEach(update -> feed.append(current, update));
            } else {
                feed.replace(current, List.of()); // the update was too large to be retained
            }
            ControlLog.revisionApplied(current.revision());
        }

        private void reportOutcome(Proposal proposal, Outcome outcome) {
            if (outcome instanceof Outcome.Rejected rejected) {
                ControlLog.proposalRejected(proposal.id(), rejected.rejection());
            }
            pending.complete(proposal.id(), new Decided(outcome));
        }

        @Override
        public byte[] snapshot() {
            return history.snapshot();
        }

        @Override
        public void restore(long index, byte[] snapshot) {
            try {
                history.restore(snapshot);
            } catch (InvalidConfigurationException e) {
                ControlLog.logSnapshotUnreadable(index, e);
                throw new UnreadableLogSnapshotException(index, e);
            }
            List<Update> retained =
                    history.updatesSince(history.oldestRetained()).orElse(List.of());
            feed.replace(history.current(), retained);
        }
    }
}
