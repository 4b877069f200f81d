package tinford.fleet.control;

import tinford.fleet.config.Outcome;

/** What a control server can say about a proposal. */
sealed interface ProposalResult {
    /** It was decided, here and everywhere. */
    record Decided(Outcome outcome) implements ProposalResult {}

    /**
     * It was not decided in time.
     *
     * @param taken whether it may still come into force
     */
    record Unavailable(Taken taken, String reason) implements ProposalResult {}

    /** Whether a proposal that was not decided may still come into force. */
    enum Taken {
        NO,
        PERHAPS
    }
}
