package tinford.routing;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import tinford.api.Server;

/** A server as the list shows it, with the connections to it. */
final class PooledServer extends Server {
    InetSocketAddress dial;

    /**
     * As the list has it; {@code state} and {@code born} are what holds, after the operators'
     * calls.
     */
    Server.State listed;

    double listedBorn;

    /** Connections with nothing in them, the last used first. */
    final ArrayDeque<ServerConnection> idle = new ArrayDeque<>();

    /** Connections that are not up yet, and carry a dispatch of which nothing has left. */
    final Set<ServerConnection> opening = new LinkedHashSet<>();

    /**
     * All connections to it, those that are still opening, and those that it has not seen closed,
     * included.
     */
    int links;

    /** Of these, those that have ended, though the server may not have seen it yet. */
    int leaving;

    /** Its place in the order in which servers were first listed. */
    final long sequence;

    PooledServer(String id, long sequence) {
        super(id);
        this.sequence = sequence;
    }
}
