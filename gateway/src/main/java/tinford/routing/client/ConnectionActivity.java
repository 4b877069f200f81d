package tinford.routing.client;

/** How active a client connection is; where connections are scarce the least active go first. */
enum ConnectionActivity {
    /** It ends as soon as its responses are written. */
    CLOSING,
    /** No command has come on it, though it was opened a while ago. */
    NEVER_USED,
    /** Between requests for long. */
    IDLE,
    /** Between requests, lately used. */
    RECENTLY_USED,
    /** Just opened: its first command may be on its way. */
    JUST_OPENED,
    /** A command is on it, or a response not yet written. */
    BUSY
}
