package tinford.fleet.config;

import java.util.List;

/**
 * The configurations of a follower: the active one, the one being applied, and the last one
 * received. One revision is applied at a time; updates that are received meanwhile are combined
 * into one step from the active revision. Not thread-safe.
 */
final class AppliedState {
    private Configuration active;
    private Configuration received;

    /** The configuration being applied; null if none is. */
    private Configuration pending;

    /** The last revision offered, so that a rejected one is not offered again. */
    private long offeredRevision;

    /** Whether a snapshot is among what has been received since the last offer. */
    private boolean snapshotReceived;

    /** Whether a snapshot is among what is being applied. */
    private boolean snapshotPending;

    /** The update that led to the received configuration; null after a snapshot. */
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

    /** Why the last revision offered is not active; null if it is. */
    String rejectionReason() {
        return rejectionReason;
    }

    /**
     * Takes an update that leads on from the received configuration.
     *
     * @throws InvalidConfigurationException if it does not, or its result is invalid; nothing
     *     changes
     */
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

    /**
     * Takes a whole configuration.
     *
     * @throws InvalidConfigurationException if the snapshot can't be read, is older than the
     *     received configuration, or differs from it at the same revision; nothing changes
     */
    void receive(long revision, byte[] snapshot, SnapshotCodec codec)
            throws InvalidConfigurationException {
        // checked before the work of decoding
        if (revision < received.revision()) {
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

    /** Adds the action that applies the received configuration, unless one is being applied. */
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

    /** The pending configuration is in force. */
    void activate() {
        active = pending;
        rejectionReason = null;
        pending = null;
    }

    /** The pending configuration can't be brought into force; the active one stays. */
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
