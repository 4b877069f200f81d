package tinford.fleet.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * The replicated state machine of the configuration: it accepts or rejects proposals and retains
 * recent revisions. The same proposals in the same order produce the same state and the same
 * outcomes on every voter. Memory is bounded by {@link ConfigurationLimits}. Not thread-safe.
 */
public final class RevisionHistory {
    /**
     * How many updates are retained.
     *
     * @param updates the largest number of updates
     * @param bytes the largest total size of the encoded updates
     */
    public record Retention(int updates, int bytes) {
        /** The largest retention. */
        public static final Retention DEFAULT =
                new Retention(
                        ConfigurationLimits.MAX_RETAINED_UPDATES,
                        ConfigurationLimits.MAX_RETAINED_BYTES);

        public Retention {
            if (updates < 0
                    || updates > ConfigurationLimits.MAX_RETAINED_UPDATES
                    || bytes < 0
                    || bytes > ConfigurationLimits.MAX_RETAINED_BYTES) {
                throw new IllegalArgumentException(
                        "retention: expected non-negative numbers, at most "
                                + ConfigurationLimits.MAX_RETAINED_UPDATES
                                + " updates and "
                                + ConfigurationLimits.MAX_RETAINED_BYTES
                                + " bytes");
            }
        }
    }

    /** An update and its encoded size. */
    private record RetainedUpdate(Update update, int bytes) {}

    private final HistoryCodec codec;
    private final Retention retention;
    private final Deque<RetainedUpdate> retained = new ArrayDeque<>();
    private DecidedProposals proposals = new DecidedProposals();

    /** The configuration before the first retained update. */
    private Configuration oldest = Configuration.EMPTY;

    private Configuration current = Configuration.EMPTY;
    private long retainedBytes;

    /** Creates an empty history, at revision 0, with the default retention. */
    public RevisionHistory(String fleetId) {
        this(fleetId, Retention.DEFAULT);
    }

    /** Creates an empty history, at revision 0. */
    public RevisionHistory(String fleetId, Retention retention) {
        this.codec = new HistoryCodec(fleetId);
        this.retention = retention;
    }

    /** The configuration at the latest revision. */
    public Configuration current() {
        return current;
    }

    /** The oldest revision that {@link #updatesSince} and a {@link Revert} can refer to. */
    public long oldestRetained() {
        return oldest.revision();
    }

    /** How many updates are retained. */
    public int retainedUpdates() {
        return retained.size();
    }

    /** Total encoded size of the retained updates, in bytes. */
    public long retainedBytes() {
        return retainedBytes;
    }

    /** How many proposals are retained with their outcomes. */
    public int retainedProposals() {
        return proposals.size();
    }

    /**
     * Accepts a proposal as a new revision, or rejects it and changes nothing. A proposal that was
     * already decided gets the same outcome again.
     */
    public Outcome propose(Proposal proposal) {
        if (!RecordChecks.isName(proposal.id())) {
            return rejected(new ValidationError("id", RecordChecks.EXPECTED_NAME));
        }
        String digest = DecidedProposals.digest(proposal);
        Optional<DecidedProposals.DecidedProposal> decided = proposals.get(proposal.id());
        if (decided.isPresent()) {
            return repeatedOutcome(decided.get(), digest);
        }
        Outcome outcome = decide(proposal);
        proposals.add(new DecidedProposals.DecidedProposal(proposal.id(), digest, outcome));
        return outcome;
    }

    /**
     * The updates after a revision, one for each revision, oldest first. The list is empty for the
     * current revision and for future ones; the result is empty if the updates are no longer
     * retained.
     */
    public Optional<List<Update>> updatesSince(long revision) {
        if (revision < oldest.revision()) {
            return Optional.empty();
        }
        List<Update> updates = new ArrayList<>();
        for (RetainedUpdate each : retained) {
            if (each.update().fromRevision() >= revision) {
                updates.add(each.update());
            }
        }
        return Optional.of(updates);
    }

    /** Encodes the whole state, for {@link #restore} on any voter. */
    public byte[] snapshot() {
        return codec.encode(
                oldest, retained.stream().map(RetainedUpdate::update).toList(), proposals);
    }

    /**
     * Replaces the whole state by a snapshot.
     *
     * @throws InvalidConfigurationException if the snapshot is invalid; the state is unchanged
     */
    public void restore(byte[] snapshot) throws InvalidConfigurationException {
        HistoryCodec.State state = codec.decode(snapshot);
        retained.clear();
        retainedBytes = 0;
        oldest = state.oldest();
        current = state.oldest();
        proposals = state.proposals();
        for (Update update : state.updates()) {
            current = current.with(update.revision(), update.changes());
            retain(update);
        }
    }

    private static Outcome repeatedOutcome(
            DecidedProposals.DecidedProposal decided, String digest) {
        return decided.digest().equals(digest)
                ? decided.outcome()
                : rejected(new ValidationError("id", "an id that no other proposal has had"));
    }

    private Outcome decide(Proposal proposal) {
        if (proposal instanceof ChangeSet set) {
            return decide(set);
        } else if (proposal instanceof Revert revert) {
            return decide(revert);
        }
        throw new IllegalArgumentException("unknown proposal " + proposal);
    }

    private Outcome decide(ChangeSet set) {
        Long expected = set.expectedRevision();
        if (expected != null && expected != current.revision()) {
            return rejected(
                    new ValidationError(
                            "expectedRevision", "the current revision, " + current.revision()));
        }
        if (set.changes().isEmpty()) {
            return rejected(new ValidationError("changes", "one at least"));
        }
        Configuration next = current.with(current.revision() + 1, set.changes());
        List<ValidationError> errors = Validator.check(current, set.changes(), next);
        if (!errors.isEmpty()) {
            return new Outcome.Rejected(new Rejection(errors));
        }
        return accept(set.changes(), next);
    }

    private Outcome decide(Revert revert) {
        long to = revert.toRevision();
        if (to < oldest.revision() || to > current.revision()) {
            return rejected(
                    new ValidationError(
                            "revertTo",
                            "a retained revision, "
                                    + oldest.revision()
                                    + " to "
                                    + current.revision()));
        }
        List<Change> changes = current.changesTo(configurationAt(to));
        return accept(changes, current.with(current.revision() + 1, changes));
    }

    private Configuration configurationAt(long revision) {
        Configuration configuration = oldest;
        for (RetainedUpdate each : retained) {
            if (each.update().revision() > revision) {
                break;
            }
            configuration = configuration.with(each.update().revision(), each.update().changes());
        }
        return configuration;
    }

    private Outcome accept(List<Change> changes, Configuration next) {
        Update update = new Update(current.revision(), next.revision(), changes);
        current = next;
        retain(update);
        return new Outcome.Accepted(next.revision());
    }

    private void retain(Update update) {
        int bytes = ConfigurationCodec.encode(new WatchMessage.UpdateMessage(update)).length;
        retained.addLast(new RetainedUpdate(update, bytes));
        retainedBytes += bytes;
        while (retained.size() > retention.updates() || retainedBytes > retention.bytes()) {
            RetainedUpdate dropped = retained.removeFirst();
            retainedBytes -= dropped.bytes();
            oldest = oldest.with(dropped.update().revision(), dropped.update().changes());
        }
    }

    private static Outcome rejected(ValidationError error) {
        return new Outcome.Rejected(new Rejection(List.of(error)));
    }
}
