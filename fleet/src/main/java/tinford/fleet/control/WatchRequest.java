package tinford.fleet.control;

/**
 * A request of a follower for lines.
 *
 * @param watch whether the response goes on, or ends after one line
 * @param afterRevision the revision that the follower has
 * @param follower its id; may be empty unless it is a watch
 */
record WatchRequest(boolean watch, long afterRevision, String follower) {}
