package tinford.routing.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import tinford.api.Server;

/** A server on the endpoint list, and the connections to it. */
public final class PooledServer extends Server {
    InetSocketAddress address;

    /**
     * State on the endpoint list; {@code state()} also takes operators' exclusions into account.
     */
    Server.State listedState;

    /**
     * Start time on the endpoint list; {@code startedAtMs()} also takes operators' exclusions into
     * account.
     */
    double listedStartedAtMs;

    /** Connections without an attempt in flight, most recently used first. */
    final ArrayDeque<ServerConnection> idleConnections = new ArrayDeque<>();

    /** Connections not yet established, each with an attempt whose command is still unsent. */
    final Set<ServerConnection> openingConnections = new LinkedHashSet<>();

    /**
     * Connections that the server may regard as open. Includes connections not yet established, and
     * connections closed by this side whose close the server may not have seen.
     */
    int connectionCount;

    /** Connections in {@link #connectionCount} that this side has closed. */
    int closedConnectionCount;

    /** Position in the order in which servers were first listed. */
    final long sequence;

    PooledServer(String id, long sequence) {
        super(id);
        this.sequence = sequence;
    }

    /** The number of connections that this side has not closed. */
    int liveConnectionCount() {
        return connectionCount - closedConnectionCount;
    }

    /** Applies an endpoint list entry of a server that is not removed. */
    void update(EndpointEntry entry, double startedAtMs) {
        address = entry.address();
        listedStartedAtMs = entry.startedAtMs();
        updateStartTime(startedAtMs);
        updateAttributes(entry.zone(), entry.cell(), entry.group(), entry.weight());
    }
}
