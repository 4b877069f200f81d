package tinford.fleet.config;

import java.util.List;

/**
 * The configurations of a follower: the active one, the one being applied, and the last one
 * received. One revision is applied at a time; updates that are received in the meantime are
 * combined into a single update from the active revision. Not thread-safe.
 */
final class FollowerConfigurations {
    private Configuration active;
    private Configuration received;

    /** The configuration being applied; null if none is. */
    private Configuration pending;

    /** The last revision offered to the owner, so that a rejected one is not offered again. */
    private long offeredRevision;

    /** Whether a snapshot has been received since a configuration was last offered. */
    private boolean snapshotReceived;

    /** Whether a snapshot led to the configuration being applied. */
    private boolean snapshotPending;

    /** The update that resulted in the received configuration; null after a snapshot. */
    private Update lastUpdate;

    private String rejectionReason;

    FollowerConfigurations(Configuration active) {
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

    /** Why the configuration that was last to be applied was rejected; null if it was applied. */
    String rejectionReason() {
        return rejectionReason;
    }

    /**
     * Processes an update of the received configuration.
     *
     * @throws InvalidConfigurationException if the update starts from another revision, or its
     *     result is invalid; the state is unchanged
     */
    void receive(Update update) throws InvalidConfigurationException {
        if (update.fromRevision() != received.revision()) {
            throw new InvalidConfigurationException(
                    "update.from",
                    "the current revision, "
                            + received.revision()
                            + ", not "
                            + update.fromRevision()
                            + ", in the update to revision "
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
     * Processes a snapshot of a whole configuration.
     *
     * @throws InvalidConfigurationException if the snapshot can't be read, is older than the
     *     received configuration, or differs from it at the same revision; the state is unchanged
     */
    void receive(long revision, byte[] snapshot, SnapshotCodec codec)
            throws InvalidConfigurationException {
        // checked first, because decoding is expensive
        if (revision < received.revision()) {
            throw outdatedSnapshot(revision);
        }
        Configuration next = codec.decode(snapshot);
        if (next.revision() != revision) {
            throw new InvalidConfigurationException(
                    "snapshot.revision", "the revision in its data, " + next.revision());
        }
        if (revision == received.revision()) {
            expectSameContent(next);
            return;
        }
        received = next;
        lastUpdate = null;
        snapshotReceived = true;
    }

    /** Adds an action that applies the received configuration, unless one is being applied. */
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

    /** Records that the pending configuration was applied. */
    void activate() {
        active = pending;
        rejectionReason = null;
        pending = null;
    }

    /** Records that the pending configuration could not be applied; the active one stays. */
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
                    "snapshot", "the content already received at revision " + received.revision());
        }
    }

    private InvalidConfigurationException outdatedSnapshot(long revision) {
        return new InvalidConfigurationException(
                "snapshot.revision",
                "at least the current revision, " + received.revision() + ", not " + revision);
    }
}
