package tinford.fleet.control;

/**
 * One line of a watch. Its bytes are shared by all followers that it is sent to, so nobody writes
 * to them.
 *
 * @param revision which a follower holds once it has applied the line
 * @param bytes JSON with the line feed
 */
record WatchLine(long revision, byte[] bytes) {}
