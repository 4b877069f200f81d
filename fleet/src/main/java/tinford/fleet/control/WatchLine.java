package tinford.fleet.control;

/**
 * One line of a watch.
 *
 * @param revision the revision of a follower that has applied the line
 * @param bytes JSON with the line feed; shared by all followers and never modified
 */
record WatchLine(long revision, byte[] bytes) {}
