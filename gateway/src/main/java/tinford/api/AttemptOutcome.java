package tinford.api;

/** The outcome of an attempt, a health check or a call to the shared counter. */
public enum AttemptOutcome {
    /** A complete, successful response. */
    SUCCESS(true),
    /** A response that reports an error of the server. */
    ERROR(true),
    /** The server is overloaded and rejected the attempt without running it. */
    OVERLOADED(false),
    /** No complete response within the timeout. */
    TIMED_OUT(true),
    /** No connection could be established, so nothing was sent. */
    UNREACHABLE(false),
    /** The connection broke, or its data could not be read, before the response was complete. */
    CONNECTION_LOST(true),
    /** The gateway cancelled the attempt. */
    CANCELLED(true),
    /** The attempt was withdrawn before its last byte was sent. */
    NOT_SENT(false);

    /** Whether the server may have run the request; false only if it certainly did not. */
    public final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }
}
