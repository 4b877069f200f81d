package tinford.routing;

import tinford.api.End;
import tinford.transport.Ending;

/** What the end of a connection means to what was in it; the one place that says so. */
final class Ends {
    private Ends() {}

    /**
     * @param left the command had left to its last byte: only then can it have run
     */
    static End ofDispatch(Ending how, boolean left) {
        return switch (how) {
            case REFUSED, NEVER_UP, NO_ROOM -> End.UNREACHABLE;
            case BROKEN, ENDED, MALFORMED, OVERFULL, PASSED_BY, RETIRED ->
                    left ? End.BROKEN : End.UNREACHABLE;
            case SILENT -> left ? End.TIMED_OUT : End.UNREACHABLE;
            case DROPPED -> left ? End.CANCELLED : End.VOID;
        };
    }

    /**
     * To a call on the counter, what may have been added is all one, however it came to be unknown.
     * So is a call that got no answer in its time, also if it never left: told as surely not added,
     * all that passed in an outage would be owed by the first call after it, and customers denied
     * who have room again. A connection that ended under a call, hung while others answered, or
     * brought what is no answer, is told apart: it says nothing of how much the counter bears.
     */
    static End ofCall(Ending how, boolean left) {
        return how == Ending.SILENT
                ? End.TIMED_OUT
                : ofDispatch(how, left).mayHaveRun ? End.BROKEN : End.UNREACHABLE;
    }
}
