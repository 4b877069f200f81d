package tinford.routing;

import tinford.transport.Loop;

/** One sending of a req to a server. */
final class Dispatch {
    final Exchange exchange;
    final int no;
    final double at;
    ServerLink link;
    Loop.Timer cap;
    boolean ended;

    Dispatch(Exchange exchange, int no, double at) {
        this.exchange = exchange;
        this.no = no;
        this.at = at;
    }
}
