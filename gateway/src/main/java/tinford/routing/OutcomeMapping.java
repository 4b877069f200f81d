package tinford.routing;

import tinford.api.AttemptOutcome;
import tinford.transport.CloseReason;

/** Maps the end of a connection to the outcome of what was in flight on it. */
public final class OutcomeMapping {
    private OutcomeMapping() {}

    /**
     * Outcome of an attempt at a server.
     *
     * @param sent whether the command was written to its last byte: only then can it have run
     */
    public static AttemptOutcome ofAttempt(CloseReason reason, boolean sent) {
        return switch (reason) {
            case CONNECT_REFUSED, CONNECT_TIMEOUT, NO_DESCRIPTOR -> AttemptOutcome.UNREACHABLE;
            case IO_ERROR,
                            CLOSED_BY_PEER,
                            PROTOCOL_ERROR,
                            BUFFER_LIMIT_EXCEEDED,
                            STALLED,
                            CLOSED_IDLE,
                            INTERNAL_ERROR ->
                    sent ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.UNREACHABLE;
            case RESPONSE_TIMEOUT -> sent ? AttemptOutcome.TIMED_OUT : AttemptOutcome.UNREACHABLE;
            case CANCELLED -> sent ? AttemptOutcome.CANCELLED : AttemptOutcome.NOT_SENT;
        };
    }

    /**
     * Outcome of a call on the shared counter. Whatever may have been added is {@code
     * CONNECTION_LOST}, however that came to be unknown.
     *
     * <p>A call without an answer in its time is {@code TIMED_OUT} even if it was never sent. If it
     * counted as surely not added, all usage admitted during a counter outage would be reported
     * with the first call after it, and tenants with quota left would be rejected. Only a time-out
     * says something about the load that the counter can take; the end of a connection does not.
     */
    public static AttemptOutcome ofCounterCall(CloseReason reason, boolean sent) {
        if (reason == CloseReason.RESPONSE_TIMEOUT) {
            return AttemptOutcome.TIMED_OUT;
        }
        return ofAttempt(reason, sent).mayHaveRun
                ? AttemptOutcome.CONNECTION_LOST
                : AttemptOutcome.UNREACHABLE;
    }
}
