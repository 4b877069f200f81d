package tinford.fleet.control;

/** Exit codes of the commands, as documented in {@code docs/configuration.md}. */
final class ExitCode {
    /** Done; for {@code status}: all servers and followers have the latest revision. */
    static final int OK = 0;

    /** Rejected, or the file is invalid; for {@code status}: some lag. */
    static final int REJECTED = 1;

    /** The command line is invalid. */
    static final int USAGE = 2;

    /** No server responded, or there was no quorum; the proposal may still come into force. */
    static final int UNAVAILABLE = 3;

    private ExitCode() {}
}
