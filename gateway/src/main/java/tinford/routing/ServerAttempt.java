package tinford.routing;

import tinford.transport.EventLoop;

/** One sending of a req to a server. */
final class ServerAttempt {
    final ClientRequest exchange;
    final int no;
    final double at;
    ServerConnection link;
    EventLoop.Timer cap;
    EventLoop.Timer leaving; // its last byte is to have left by then
    boolean ended;

    ServerAttempt(ClientRequest exchange, int no, double at) {
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
