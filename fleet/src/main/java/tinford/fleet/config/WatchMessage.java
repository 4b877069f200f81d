package tinford.fleet.config;

/** A line of a watch; an empty line is a heartbeat and no message. */
public sealed interface WatchMessage {
    /** Leads on from the revision that the follower holds. */
    record UpdateMessage(Update update) implements WatchMessage {}

    /** For a follower that is too far behind: a whole configuration by {@link SnapshotCodec}. */
    record SnapshotMessage(long revision, byte[] data) implements WatchMessage {}
}
