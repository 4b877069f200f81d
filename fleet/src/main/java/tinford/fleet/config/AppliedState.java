package tinford.fleet.config;

import java.util.List;

/**
 * What a follower has received, what of it is in force, and what is being applied. One revision is
 * applied at a time; what is received meanwhile is offered as one step from the revision in force.
 */
final class AppliedState {
    private Configuration active;
    private Configuration received;

    /** Being applied; null where nothing is. */
    private Configuration pending;

    /** The last revision offered, so that a refused one is not offered again. */
    private long offeredRevision;

    /** Whether a snapshot is among what has been received since the last offer. */
    private boolean snapshotReceived;

    /** Whether one is among what is being applied. */
    private boolean snapshotPending;

    /** The update that led to what was received last; null after a snapshot. */
    private Update lastUpdate;

    private String rejectionReason;

    AppliedState(Configuration active) {
        this.active = active;
        this.received = active;
        this.offeredRevision = active.revision();
    }

    Configuration active() {
        return active;
    }

    Configuration received() {
        return received;
    }

    boolean isPending() {
        return pending != null;
    }

    /** Why the last revision offered is not in force; null where it is. */
    String rejectionReason() {
        return rejectionReason;
    }

    void receive(Update update) throws InvalidConfigurationException {
        if (update.fromRevision() != received.revision()) {
            throw new InvalidConfigurationException(
                    "update.from",
                    "the revision held, "
                            + received.revision()
                            + ", not "
                            + update.fromRevision()
                            + " to "
                            + update.revision());
        }
        Configuration next = received.with(update.revision(), update.changes());
        List<ValidationError> errors = Validator.check(received, update.changes(), next);
        if (!errors.isEmpty()) {
            throw new InvalidConfigurationException(
                    "update." + errors.get(0).key(), errors.get(0).expected());
        }
        received = next;
        lastUpdate = update;
    }

    void receive(long revision, byte[] snapshot, SnapshotCodec codec)
            throws InvalidConfigurationException {
        if (revision < received.revision()) { // before the work of reading it
            throw outdatedSnapshot(revision);
        }
        Configuration next = codec.decode(snapshot);
        if (next.revision() != revision) {
            throw new InvalidConfigurationException(
                    "snapshot.revision", "that of its data, " + next.revision());
        }
        if (revision == received.revision()) {
            expectSameContent(next);
            return;
        }
        received = next;
        lastUpdate = null;
        snapshotReceived = true;
    }

    /** Adds the action that brings into force what was received, if it is due. */
    void offer(List<Follower.Action> actions) {
        if (pending != null || received.revision() <= offeredRevision) {
            return;
        }
        pending = received;
        offeredRevision = received.revision();
        snapshotPending = snapshotReceived;
        snapshotReceived = false;
        if (snapshotPending) {
            actions.add(new Follower.Action.ApplySnapshot(received));
        } else {
            actions.add(new Follower.Action.Apply(updateFromActive(), received));
        }
    }

    /** The configuration that was being applied is active. */
    void activate() {
        active = pending;
        rejectionReason = null;
        pending = null;
    }

    /** The configuration that was being applied can't be; the active one stays. */
    void reject(String reason) {
        rejectionReason = ValidationError.oneLine("revision " + pending.revision() + ": " + reason);
        snapshotReceived |= snapshotPending;
        pending = null;
    }

    private Update updateFromActive() {
        if (lastUpdate != null && lastUpdate.fromRevision() == active.revision()) {
            return lastUpdate;
        }
        return new Update(active.revision(), received.revision(), active.changesTo(received));
    }

    private void expectSameContent(Configuration other) throws InvalidConfigurationException {
        if (other.contentHash() != received.contentHash()) {
            throw new InvalidConfigurationException(
                    "snapshot", "the content held at revision " + received.revision());
        }
    }

    private InvalidConfigurationException outdatedSnapshot(long revision) {
        return new InvalidConfigurationException(
                "snapshot.revision",
                "no earlier one than the revision held, "
                        + received.revision()
                        + ", not "
                        + revision);
    }
}
