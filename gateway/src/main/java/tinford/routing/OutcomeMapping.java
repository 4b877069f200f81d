package tinford.routing;

import tinford.api.AttemptOutcome;
import tinford.transport.CloseReason;

/** What the end of a connection means to what was in it; the one place that says so. */
final class OutcomeMapping {
    private OutcomeMapping() {}

    /**
     * @param left the command had left to its last byte: only then can it have run
     */
    static AttemptOutcome ofDispatch(CloseReason how, boolean left) {
        return switch (how) {
            case CONNECT_REFUSED, CONNECT_TIMEOUT, NO_DESCRIPTOR -> AttemptOutcome.UNREACHABLE;
            case IO_ERROR,
                            CLOSED_BY_PEER,
                            PROTOCOL_ERROR,
                            BUFFER_LIMIT_EXCEEDED,
                            STALLED,
                            CLOSED_IDLE ->
                    left ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.UNREACHABLE;
            case RESPONSE_TIMEOUT -> left ? AttemptOutcome.TIMED_OUT : AttemptOutcome.UNREACHABLE;
            case CANCELLED -> left ? AttemptOutcome.CANCELLED : AttemptOutcome.NOT_SENT;
        };
    }

    /**
     * To a call on the counter, what may have been added is all one, however it came to be unknown.
     * So is a call that got no answer in its time, also if it never left: told as surely not added,
     * all that passed in an outage would be owed by the first call after it, and customers denied
     * who have room again. A connection that ended under a call, hung while others answered, or
     * brought what is no answer, is told apart: it says nothing of how much the counter bears.
     */
    static AttemptOutcome ofCall(CloseReason how, boolean left) {
        return how == CloseReason.RESPONSE_TIMEOUT
                ? AttemptOutcome.TIMED_OUT
                : ofDispatch(how, left).mayHaveRun
                        ? AttemptOutcome.CONNECTION_LOST
                        : AttemptOutcome.UNREACHABLE;
    }
}
