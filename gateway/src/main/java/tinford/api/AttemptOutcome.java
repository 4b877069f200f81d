package tinford.api;

/** How a dispatch, a probe or a call to the counter ended. */
public enum AttemptOutcome {
    SUCCESS(true),
    ERROR(true),
    OVERLOADED(false),
    TIMED_OUT(true),
    UNREACHABLE(false),
    CONNECTION_LOST(true),
    CANCELLED(true),
    NOT_SENT(false);

    /** False when this end proves that nothing ran. */
    public final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }
}
