package tinford.routing;

import static org.testng.Assert.assertEquals;
import static tinford.api.AttemptOutcome.CANCELLED;
import static tinford.api.AttemptOutcome.CONNECTION_LOST;
import static tinford.api.AttemptOutcome.NOT_SENT;
import static tinford.api.AttemptOutcome.TIMED_OUT;
import static tinford.api.AttemptOutcome.UNREACHABLE;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.transport.CloseReason;

/** The outcome of a call whose connection ends before the response. */
public class OutcomeMappingTest {
    /** Close reason; outcome if the command was not sent completely; outcome if it was. */
    @DataProvider
    public Object[][] closeReasons() {
        return new Object[][] {
            {CloseReason.CONNECT_REFUSED, UNREACHABLE, UNREACHABLE},
            {CloseReason.CONNECT_TIMEOUT, UNREACHABLE, UNREACHABLE},
            {CloseReason.NO_DESCRIPTOR, UNREACHABLE, UNREACHABLE},
            {CloseReason.IO_ERROR, UNREACHABLE, CONNECTION_LOST},
            {CloseReason.CLOSED_BY_PEER, UNREACHABLE, CONNECTION_LOST},
            {CloseReason.PROTOCOL_ERROR, UNREACHABLE, CONNECTION_LOST},
            {CloseReason.BUFFER_LIMIT_EXCEEDED, UNREACHABLE, CONNECTION_LOST},
            {CloseReason.CLOSED_IDLE, UNREACHABLE, CONNECTION_LOST},
            {CloseReason.RESPONSE_TIMEOUT, UNREACHABLE, TIMED_OUT},
            {CloseReason.STALLED, UNREACHABLE, CONNECTION_LOST},
            {CloseReason.CANCELLED, NOT_SENT, CANCELLED},
        };
    }

    @Test(dataProvider = "closeReasons")
    public void outcomeSaysWhetherTheCommandMayHaveRun(
            CloseReason reason, AttemptOutcome unsent, AttemptOutcome sent) {
        assertEquals(OutcomeMapping.ofAttempt(reason, false), unsent);
        assertEquals(OutcomeMapping.ofAttempt(reason, true), sent);
        boolean silent = reason == CloseReason.RESPONSE_TIMEOUT;
        assertEquals(OutcomeMapping.ofCounterCall(reason, false), silent ? TIMED_OUT : UNREACHABLE);
        // Only a timeout indicates that the counter is overloaded.
        AttemptOutcome unknown = sent.mayHaveRun ? CONNECTION_LOST : UNREACHABLE;
        assertEquals(OutcomeMapping.ofCounterCall(reason, true), silent ? TIMED_OUT : unknown);
    }
}
