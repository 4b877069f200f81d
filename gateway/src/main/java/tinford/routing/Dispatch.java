package tinford.routing;

import tinford.transport.Loop;

/** One sending of a req to a server. */
final class Dispatch {
    final Exchange exchange;
    final int no;
    final double at;
    ServerLink link;
    Loop.Timer cap;
    Loop.Timer leaving; // its last byte is to have left by then
    boolean ended;

    Dispatch(Exchange exchange, int no, double at) {
        this.exchange = exchange;
        this.no = no;
        this.at = at;
    }

    /** Nothing is waited for any more. */
    void stop() {
        if (cap != null) {
            cap.cancel();
        }
        if (leaving != null) {
            leaving.cancel();
        }
    }
}
