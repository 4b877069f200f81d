package tinford.fleet.control;

/** Exit codes of the commands; {@code docs/configuration.md} tells them to operators. */
final class ExitCode {
    /** Done; for {@code status}: all hold the latest revision. */
    static final int OK = 0;

    /** Refused, or the file can't be used; for {@code status}: some lag. */
    static final int REJECTED = 1;

    /** The command line is not as expected. */
    static final int USAGE = 2;

    /** No server answered, or there was no quorum: it was surely or perhaps not taken. */
    static final int UNAVAILABLE = 3;

    private ExitCode() {}
}
