package tinford.fleet.config;

/** The decision on a proposal, the same on every voter. */
public sealed interface Outcome {
    /** The proposal became this revision. */
    record Accepted(long revision) implements Outcome {}

    /** The proposal changed nothing. */
    record Rejected(Rejection rejection) implements Outcome {}
}
