package tinford.fleet.control;

import tinford.fleet.config.Outcome;

/** What a control server can say about a proposal. */
sealed interface ProposalResult {
    /**
     * The log committed the proposal, and every voter comes to the same outcome.
     *
     * @param outcome whether it became a revision
     */
    record Decided(Outcome outcome) implements ProposalResult {}

    /**
     * The proposal was not decided in time.
     *
     * @param commitStatus whether it may still come into force
     * @param reason why it was not decided, in one line
     */
    record Unavailable(CommitStatus commitStatus, String reason) implements ProposalResult {}

    /** Whether a proposal that was not decided may still come into force. */
    enum CommitStatus {
        /** It never reached the log. */
        NOT_COMMITTED("no"),

        /** The log may have it, or get it. */
        UNKNOWN("perhaps");

        private final String wireName;

        CommitStatus(String wireName) {
            this.wireName = wireName;
        }

        /** The value of the field {@code taken} in an HTTP response. */
        String wireName() {
            return wireName;
        }
    }
}
