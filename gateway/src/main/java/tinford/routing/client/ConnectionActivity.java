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
    BUSY;

    private static final double MIN_IDLE_MS = 2000;
    private static final double MAX_JUST_OPENED_MS = 250;

    /**
     * The activity of a connection without a command or a response that is under way.
     *
     * @param commandReceived whether it has received a command before
     * @param quietMs time since its last use
     */
    static ConnectionActivity ofIdle(boolean commandReceived, double quietMs) {
        if (commandReceived) {
            return quietMs >= MIN_IDLE_MS ? IDLE : RECENTLY_USED;
        }
        return quietMs >= MAX_JUST_OPENED_MS ? NEVER_USED : JUST_OPENED;
    }
}
