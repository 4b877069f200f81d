package tinford.routing.client;

/** How active a client connection is, in the order in which connections are reclaimed. */
enum ConnectionActivity {
    /** To be closed as soon as its responses are written. */
    CLOSING,
    /** Opened a while ago, without a command since. */
    NEVER_USED,
    /** Between requests for a long time. */
    IDLE,
    /** Between requests, and recently used. */
    RECENTLY_USED,
    /** Just opened, so that its first command may be in transit. */
    JUST_OPENED,
    /** Has a command that is unread or unanswered, or a response that is unwritten. */
    BUSY
}
