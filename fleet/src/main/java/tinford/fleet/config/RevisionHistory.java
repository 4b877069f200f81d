package tinford.fleet.config;

import java.util.List;
import java.util.Optional;

/**
 * The replicated state machine: proposals in, revisions out. The same proposals in the same order
 * give the same state and the same outcomes everywhere. Memory is bounded by {@link
 * ConfigurationLimits}. Not thread-safe.
 */
public final class RevisionHistory {
    /** An empty history, at revision 0. */
    public RevisionHistory(String fleetId) {}

    public Configuration current() {
        throw new UnsupportedOperationException();
    }

    /** The oldest revision that {@link #since} and a revert can go from. */
    public long oldestRetained() {
        throw new UnsupportedOperationException();
    }

    /** Accepts the proposal as a new revision, or refuses it and changes nothing. */
    public Outcome propose(Proposal proposal) {
        throw new UnsupportedOperationException();
    }

    /**
     * The updates behind a revision, oldest first, each by one revision; empty when there are none,
     * also for a revision that is yet to come; absent when they are no longer retained.
     */
    public Optional<List<Update>> since(long revision) {
        throw new UnsupportedOperationException();
    }

    /** The whole state, for {@link #restore} on any replica. */
    public byte[] snapshot() {
        throw new UnsupportedOperationException();
    }

    /**
     * Replaces the whole state.
     *
     * @throws InvalidConfiguration the state stays as it was
     */
    public void restore(byte[] snapshot) throws InvalidConfiguration {
        throw new UnsupportedOperationException();
    }
}
