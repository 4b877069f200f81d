package tinford.fleet.config;

import java.util.List;

/**
 * What a follower has received, what of it is in force, and what is being applied. One revision is
 * applied at a time; what is received meanwhile is offered as one step from the revision in force.
 */
final class AppliedState {
    private Configuration inForce;
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

    private String refusal;

    AppliedState(Configuration inForce) {
        this.inForce = inForce;
        this.received = inForce;
        this.offeredRevision = inForce.revision();
    }

    Configuration inForce() {
        return inForce;
    }

    Configuration received() {
        return received;
    }

    boolean isPending() {
        return pending != null;
    }

    /** Why the last revision offered is not in force; null where it is. */
    String refusal() {
        return refusal;
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
        List<ValidationError> faults = Validator.check(received, update.changes(), next);
        if (!faults.isEmpty()) {
            throw new InvalidConfigurationException(
                    "update." + faults.get(0).key(), faults.get(0).expected());
        }
        received = next;
        lastUpdate = update;
    }

    void receive(long revision, byte[] snapshot, SnapshotCodec codec)
            throws InvalidConfigurationException {
        if (revision < received.revision()) { // before the work of reading it
            throw tooEarly(revision);
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
            actions.add(new Follower.Action.Apply(updateFromInForce(), received));
        }
    }

    /**
     * What was offered is in force or was refused.
     *
     * @param reason why it was refused; null where it is in force
     */
    void settle(String reason) {
        if (reason == null) {
            inForce = pending;
            refusal = null;
        } else {
            refusal = ValidationError.oneLine("revision " + pending.revision() + ": " + reason);
            snapshotReceived |= snapshotPending;
        }
        pending = null;
    }

    private Update updateFromInForce() {
        if (lastUpdate != null && lastUpdate.fromRevision() == inForce.revision()) {
            return lastUpdate;
        }
        return new Update(inForce.revision(), received.revision(), inForce.changesTo(received));
    }

    private void expectSameContent(Configuration other) throws InvalidConfigurationException {
        if (other.contentHash() != received.contentHash()) {
            throw new InvalidConfigurationException(
                    "snapshot", "the content held at revision " + received.revision());
        }
    }

    private InvalidConfigurationException tooEarly(long revision) {
        return new InvalidConfigurationException(
                "snapshot.revision",
                "no earlier one than the revision held, "
                        + received.revision()
                        + ", not "
                        + revision);
    }
}
