package tinford.lab.scale;

import tinford.api.AttemptOutcome;
import tinford.api.Request;
import tinford.api.Server;

/**
 * Hears what reaches the decisions of the gateways of a model, and what they write. Times are
 * virtual milliseconds.
 */
interface DecisionListener {
    /** A gateway has started, or started anew. */
    default void started(int gateway, double now) {}

    /** Before the decisions see the request. */
    default void arriving(int gateway, Request request, double now) {}

    /** After the decisions have seen the request. */
    default void arrived(int gateway, Request request, double now) {}

    default void calledCounter(int gateway, long name, double amount, double keepMs, double now) {}

    /** Before the decisions see the end of a call on the counter. */
    default void counting(int gateway, long name, AttemptOutcome end, double total, double now) {}

    /** After the decisions have seen the end of a call on the counter. */
    default void counted(int gateway, double now) {}

    default void dispatched(int gateway, Request request, Server server, double now) {}

    default void dispatchEnded(
            int gateway, Request request, int dispatch, AttemptOutcome end, double now) {}

    /** The request is over without a value: denied, aborted, or left by its client. */
    default void dropped(int gateway, Request request, double now) {}
}
