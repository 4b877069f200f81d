package tinford.routing;

import tinford.api.AttemptOutcome;
import tinford.transport.CloseReason;

/** Maps the reason why a connection closed to the outcome of the call in flight on it. */
public final class OutcomeMapping {
    private OutcomeMapping() {}

    /**
     * Returns the outcome of an attempt at a server.
     *
     * @param sent whether the last byte of the command was written; a server cannot have executed a
     *     command that it received only in part
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
     * Returns the outcome of a call to the shared counter. If the connection ended after the call
     * was sent, the counter may have added the amount: the outcome is {@code CONNECTION_LOST},
     * whatever the reason.
     *
     * <p>A call that is not answered within its timeout is {@code TIMED_OUT} even if it was never
     * sent. If it were reported as certainly not added, all usage admitted during a counter outage
     * would be added with the first call after the outage, and tenants with remaining quota would
     * be rejected. Only a timeout indicates that the counter is overloaded; the end of a connection
     * does not.
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
