package tinford.fleet.control;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import tinford.fleet.config.*;
import tinford.fleet.control.ControlSettings.VoterSettings;
import tinford.fleet.control.ProposalResult.Decided;
import tinford.fleet.control.ProposalResult.Taken;
import tinford.fleet.control.ProposalResult.Unavailable;
import tinford.fleet.store.RaftLog;
import tinford.fleet.store.ReplicatedLog;

/**
 * A member of the quorum: proposals become entries of the replicated log, and each member applies
 * them to its {@link RevisionHistory} in the log's order.
 */
final class Voter implements ControlRole {
    /** Opens the log with its reader. */
    interface LogOpener {
        ReplicatedLog open(ReplicatedLog.StateMachine reader) throws IOException;
    }

    /** Proposals between two snapshots of the log. */
    private static final long SNAPSHOT_ENTRIES = 256;

    private final RevisionFeed feed;
    private final RevisionHistory history;
    private final PendingProposals pending = new PendingProposals();
    private final long decideWithinMs;
    private final ReplicatedLog log;

    Voter(String fleetId, RevisionFeed feed, long decideWithinMs, LogOpener opener)
            throws IOException {
        this.feed = feed;
        this.history = new RevisionHistory(fleetId);
        this.decideWithinMs = decideWithinMs;
        this.log = opener.open(new HistoryReader());
    }

    /** What the log of a voter holds and how long it waits. */
    static RaftLog.Bounds logBounds(VoterSettings settings) {
        return new RaftLog.Bounds(
                settings.decideWithinMs(),
                PendingProposals.CAPACITY,
                ConfigurationLimits.PROPOSAL_BYTES,
                SNAPSHOT_ENTRIES,
                settings.silenceMs());
    }

    @Override
    public CompletableFuture<ProposalResult> propose(Proposal proposal) {
        byte[] entry = ConfigurationCodec.encode(proposal);
        if (entry.length > ConfigurationLimits.PROPOSAL_BYTES) {
            return CompletableFuture.completedFuture(new Decided(tooLarge()));
        }
        CompletableFuture<ProposalResult> result = pending.add(proposal.id());
        if (result.isDone()) {
            return result;
        }
        result.completeOnTimeout(
                new Unavailable(
                        Taken.PERHAPS,
                        "not decided within "
                                + decideWithinMs
                                + " ms: no quorum of voters, or a slow one"),
                decideWithinMs,
                TimeUnit.MILLISECONDS);
        log.append(entry)
                .whenComplete(
                        (index, failure) -> {
                            if (failure != null) {
                                result.complete(
                                        new Unavailable(Taken.PERHAPS, failure.getMessage()));
                            }
                        });
        return result;
    }

    /** Fields that were left out are written out, so it may be larger than what was sent. */
    private static Outcome tooLarge() {
        String expected =
                "at most "
                        + ConfigurationLimits.PROPOSAL_BYTES
                        + " bytes with all fields written out";
        return new Outcome.Refused(
                new Rejection(List.of(new ValidationError("changes", expected))));
    }

    @Override
    public boolean leads() {
        return log.isLeader();
    }

    @Override
    public long term() {
        return log.term();
    }

    @Override
    public void close() {
        log.close();
    }

    /** On the log's thread. */
    private final class HistoryReader implements ReplicatedLog.StateMachine {
        @Override
        public void apply(long index, byte[] entry) {
            Proposal proposal;
            try {
                proposal = ConfigurationCodec.decodeProposal(entry);
            } catch (InvalidConfigurationException e) {
                ControlLog.entryUnreadable(index, e); // the same on every member
                return;
            }
            long before = history.current().revision();
            Outcome outcome = history.propose(proposal);
            publishFrom(before);
            tell(proposal, outcome);
        }

        private void publishFrom(long before) {
            Configuration current = history.current();
            if (current.revision() == before) {
                return;
            }
            Optional<List<Update>> updates = history.since(before);
            if (updates.isPresent()) {
                updates.get().forEach(update -> feed.append(current, update));
            } else {
                feed.replace(current, List.of()); // it was too large to be retained
            }
            ControlLog.revision(current.revision());
        }

        private void tell(Proposal proposal, Outcome outcome) {
            if (outcome instanceof Outcome.Refused refused) {
                ControlLog.proposalRefused(proposal.id(), refused.refusal());
            }
            pending.decided(proposal.id(), new Decided(outcome));
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
                ControlLog.snapshotUnreadable(index, e);
                throw new IllegalStateException("log snapshot at " + index, e);
            }
            List<Update> retained = history.since(history.oldestRetained()).orElse(List.of());
            feed.replace(history.current(), retained);
        }
    }
}
