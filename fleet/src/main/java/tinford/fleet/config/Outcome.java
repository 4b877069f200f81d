package tinford.fleet.config;

/** What became of a proposal. */
public sealed interface Outcome {
    /** It is in force as this revision. */
    record Accepted(long revision) implements Outcome {}

    /** It changed nothing. */
    record Rejected(Rejection rejection) implements Outcome {}
}
