package tinford.routing;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import tinford.api.Srv;

/** A server as the list shows it, with the connections to it. */
final class Backend extends Srv {
    InetSocketAddress dial;
    /** As the list has it; {@code state} and {@code born} are what holds, after the operators' calls. */
    Srv.State listed;
    double listedBorn;
    /** Connections with nothing in them, the last used first. */
    final ArrayDeque<ServerLink> idle = new ArrayDeque<>();
    /** All connections to it, those that are still opening included. */
    int links;

    Backend(String id) {
        super(id);
    }
}
