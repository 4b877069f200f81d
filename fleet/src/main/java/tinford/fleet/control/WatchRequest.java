package tinford.fleet.control;

/**
 * What a follower asks for.
 *
 * @param watch whether the lines go on, or one is enough
 * @param afterRevision the revision that it holds
 * @param follower its id; may be empty where one line is enough
 */
record WatchRequest(boolean watch, long afterRevision, String follower) {}
