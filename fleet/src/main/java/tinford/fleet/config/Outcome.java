package tinford.fleet.config;

/** The outcome of a proposal; the same on every voter. */
public sealed interface Outcome {
    /** The proposal was accepted as this revision. */
    record Accepted(long revision) implements Outcome {}

    /** The proposal was rejected and changed nothing. */
    record Rejected(Rejection rejection) implements Outcome {}
}
