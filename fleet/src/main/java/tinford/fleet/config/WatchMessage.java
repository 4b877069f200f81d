package tinford.fleet.config;

/** A line of a watch; an empty line is a heartbeat and not a message. */
public sealed interface WatchMessage {
    /** An update from the revision that the follower has. */
    record UpdateMessage(Update update) implements WatchMessage {}

    /**
     * A whole configuration, for a follower that is too far behind.
     *
     * @param data encoded by {@link SnapshotCodec}
     */
    record SnapshotMessage(long revision, byte[] data) implements WatchMessage {}
}
