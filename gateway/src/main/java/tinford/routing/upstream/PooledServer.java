package tinford.routing.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import tinford.api.Server;

/** A server on the endpoint list, with the connections to it. */
public final class PooledServer extends Server {
    InetSocketAddress address;

    /** As the endpoint list has it; {@code state} also counts what operators have excluded. */
    Server.State listedState;

    /**
     * As the endpoint list has it; {@code startedAtMs} also counts what operators have excluded.
     */
    double listedStartedAtMs;

    /** Connections with nothing in flight, the last used first. */
    final ArrayDeque<ServerConnection> idle = new ArrayDeque<>();

    /** Connections not yet established, each with an attempt of which nothing is sent. */
    final Set<ServerConnection> opening = new LinkedHashSet<>();

    /** Connections that the server may count: also those opening, and those not seen closed. */
    int connectionCount;

    /** Of these, the ones that are closed by this side, though the server may not know it yet. */
    int closingCount;

    /** Its place in the order in which servers were first listed. */
    final long sequence;

    PooledServer(String id, long sequence) {
        super(id);
        this.sequence = sequence;
    }

    /** Connections that are neither closed nor closing. */
    int liveCount() {
        return connectionCount - closingCount;
    }

    /** Takes over what the endpoint list says of a server that is not removed. */
    void update(EndpointEntry entry, double startedAtMs) {
        address = entry.address();
        listedStartedAtMs = entry.startedAtMs();
        updateStartTime(startedAtMs);
        updateAttributes(entry.zone(), entry.cell(), entry.group(), entry.weight());
    }
}
