package tinford.fleet.config;

/** A message of a watch, sent as one line; an empty line is a heartbeat and not a message. */
public sealed interface WatchMessage {
    /** An update of the configuration that the follower has received before. */
    record UpdateMessage(Update update) implements WatchMessage {}

    /**
     * A whole configuration, for a follower whose revision is too old for updates.
     *
     * @param data the configuration as encoded by {@link SnapshotCodec}
     */
    record SnapshotMessage(long revision, byte[] data) implements WatchMessage {}
}
