package tinford.api;

/** How a dispatch, a probe or a call to the counter ended. */
public enum End {
    GOOD(true),
    ERROR(true),
    FULL(false),
    TIMED_OUT(true),
    UNREACHABLE(false),
    BROKEN(true),
    CANCELLED(true),
    VOID(false);

    /** False when this end proves that nothing ran. */
    public final boolean mayHaveRun;

    End(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }
}
