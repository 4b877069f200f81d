package tinford.routing.client;

import tinford.routing.RoutingContext;

/**
 * The earliest time at which the next command of a connection may have arrived. Input that is left
 * unread on purpose may have been there all the time, and its client waits for an answer since.
 */
final class ArrivalTime {
    private final RoutingContext context;

    /** Start of the time in which input may have been left unread, or 0. */
    private double unreadSinceMs;

    ArrivalTime(RoutingContext context) {
        this.context = context;
    }

    /** Called when input may be left unread from now on. */
    void startUnread() {
        unreadSinceMs = earliestMs();
    }

    /** Called when all input has been read. */
    void endUnread() {
        unreadSinceMs = 0;
    }

    /** Whether input may have been left unread. */
    boolean mayBeUnread() {
        return unreadSinceMs > 0;
    }

    double earliestMs() {
        return unreadSinceMs > 0 ? unreadSinceMs : context.previousBatchMs();
    }
}
