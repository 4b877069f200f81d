package tinford.routing.upstream;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tinford.api.Server;
import tinford.protocol.RespReader;
import tinford.protocol.UsageReport;
import tinford.routing.RoutingContext;
import tinford.settings.JsonFields;
import tinford.transport.CloseReason;
import tinford.transport.DescriptorBudget;

/** The servers on the endpoint list, and the connections to them. */
public final class ServerPool {
    /**
     * A connection rests this long before it is used again: what the server sent behind a response
     * has arrived by then.
     */
    private static final double REUSE_DELAY_MS = 10;

    /** Idle connections are closed after this part of the server's own idle time-out. */
    private static final double IDLE_TIMEOUT_SHARE = 0.75;

    private static final int IDLE_CHECKS_PER_TIMEOUT = 16;
    private static final int MAX_REMOVED_IDS = 4096;

    /** With this connect time-out none is opened: it fails for want of a descriptor. */
    private static final double NO_CONNECT_MS = 0;

    final RoutingContext context;
    final AttemptListener attempts;
    final RespReader respReader = new RespReader();
    final double connectTimeoutMs;
    private final Map<String, PooledServer> servers = new LinkedHashMap<>();
    private final ServerExclusions exclusions = new ServerExclusions();
    private final RecentIds removedIds = new RecentIds(MAX_REMOVED_IDS);
    private final double idleTimeoutMs;
    private final int maxConnections;
    private final List<String> loadFields;
    private int connectionCount;
    private long nextSequence;

    /**
     * @param idleTimeoutMs how long a connection may stand idle before its server closes it
     * @param maxConnections to all servers together
     * @param loadFields names of the load report's fields in the order in which the decision module
     *     takes them; empty if it takes none
     */
    public ServerPool(
            RoutingContext context,
            AttemptListener attempts,
            double connectTimeoutMs,
            double idleTimeoutMs,
            int maxConnections,
            List<String> loadFields) {
        this.context = context;
        this.attempts = attempts;
        this.connectTimeoutMs = connectTimeoutMs;
        this.idleTimeoutMs = idleTimeoutMs;
        this.maxConnections = maxConnections;
        this.loadFields = loadFields;
        closeLongIdle();
    }

    /**
     * Within a batch: brings an endpoint list into force, complete or as changes to the one before.
     *
     * @throws tinford.settings.InvalidSettingsException if it can't be read; then none of it is in
     *     force
     */
    public void updateEndpoints(JsonFields list) {
        List<JsonFields> hosts = list.objects("hosts");
        boolean complete = list.flag("whole");
        List<EndpointEntry> entries = new ArrayList<>(hosts.size());
        for (JsonFields host : hosts) {
            entries.add(EndpointEntry.read(host));
        }
        List<Server> listed = new ArrayList<>(entries.size());
        List<PooledServer> replaced = new ArrayList<>();
        for (EndpointEntry entry : entries) {
            PooledServer server = servers.computeIfAbsent(entry.id(), this::newServer);
            listed.add(server);
            if (update(server, entry)) {
                replaced.add(server);
            }
        }
        context.events().endpointsUpdated(listed, complete);
        replaced.forEach(this::stopUsing);
        dropUnlisted(new HashSet<>(listed), complete);
    }

    /** Whether what runs at the server's address is another process than before. */
    private boolean update(PooledServer server, EndpointEntry entry) {
        server.listedState = entry.state();
        server.updateState(effectiveState(server));
        if (server.state() == Server.State.REMOVED) {
            return false;
        }
        boolean replaced =
                !entry.address().equals(server.address)
                        || entry.startedAtMs() != server.listedStartedAtMs;
        server.update(entry, exclusions.startedAtMs(server.id, entry.startedAtMs()));
        return replaced;
    }

    /** Closes what leads to servers that take nothing new, and forgets those that are gone. */
    private void dropUnlisted(Set<Server> listed, boolean complete) {
        List<PooledServer> affected =
                complete ? new ArrayList<>(servers.values()) : inListedOrder(listed);
        for (PooledServer server : affected) {
            boolean absent = complete && !listed.contains(server);
            if (server.state() != Server.State.UP || absent) {
                stopUsing(server);
            }
            if (server.state() == Server.State.REMOVED || absent) {
                servers.remove(server.id);
                removedIds.add(server.id);
            }
        }
    }

    private PooledServer newServer(String id) {
        removedIds.remove(id);
        return new PooledServer(id, nextSequence++);
    }

    /** The order in which they were first listed decides which attempts end first. */
    private static List<PooledServer> inListedOrder(Set<Server> listed) {
        List<PooledServer> sorted = new ArrayList<>(listed.size());
        listed.forEach(server -> sorted.add((PooledServer) server));
        sorted.sort(Comparator.comparingLong(server -> server.sequence));
        return sorted;
    }

    /** A server that operators have excluded drains, whatever the endpoint list says. */
    private Server.State effectiveState(PooledServer server) {
        return server.listedState == Server.State.UP && exclusions.isExcluded(server.id)
                ? Server.State.DRAINING
                : server.listedState;
    }

    /** Whether a server is or was on the endpoint list, or was excluded. */
    public boolean isKnown(String serverId) {
        return servers.containsKey(serverId)
                || removedIds.contains(serverId)
                || exclusions.isKnown(serverId);
    }

    /** Within a batch: applies a record made by {@link ServerExclusions#toRecord}. */
    public void applyExclusion(String serverRecord) {
        PooledServer server = servers.get(exclusions.apply(serverRecord));
        if (server == null || server.state() == effectiveState(server)) {
            return;
        }
        server.updateState(effectiveState(server));
        server.updateStartTime(exclusions.startedAtMs(server.id, server.listedStartedAtMs));
        stopUsing(server);
        context.events().endpointsUpdated(List.of(server), false);
    }

    /**
     * Sends an attempt on an idle connection, or on a new one.
     *
     * @param timeoutMs how long the sender waits, which the server is informed of
     */
    public void send(ServerAttempt attempt, PooledServer server, long timeoutMs) {
        ServerConnection reusable = takeReusable(server);
        if (reusable != null) {
            reusable.send(attempt, timeoutMs);
            return;
        }
        int shortage =
                context.loop().descriptorBudget().shortage(DescriptorBudget.PeerKind.SERVERS);
        for (int i = 0; i < shortage; i++) {
            closeAnyIdle();
        }
        ServerConnection connection = new ServerConnection(this, server);
        server.opening.add(connection);
        connection.send(attempt, timeoutMs);
        if (isAtLimit(server) && !server.idle.isEmpty()) {
            ServerConnection resting = server.idle.peekLast();
            resting.successor = connection;
            resting.close(CloseReason.CLOSED_IDLE);
        } else {
            open(connection);
        }
    }

    private boolean isAtLimit(PooledServer server) {
        return server.connectionCount >= context.fleetPolicy().connectionLimit(server);
    }

    /** The only place that opens connections, within what the fleet allows at a server. */
    private void open(ServerConnection connection) {
        PooledServer server = connection.server;
        boolean allowed = !isAtLimit(server) && connectionCount < maxConnections;
        if (allowed) {
            connection.counted = true;
            connectionCount++;
            server.connectionCount++;
            context.fleetPolicy().connectionOpened(server);
        }
        connection.connect(allowed ? connectTimeoutMs : NO_CONNECT_MS);
    }

    /**
     * Takes an idle connection out that can be used again: it has rested, and nothing has arrived
     * on it meanwhile. A late or second response must not become that of the next command.
     */
    private ServerConnection takeReusable(PooledServer server) {
        double nowMs = context.nowMs();
        for (ServerConnection connection : server.idle) {
            if (nowMs - connection.idleSinceMs >= REUSE_DELAY_MS
                    && connection.hasNoPendingInput()) {
                server.idle.remove(connection);
                return connection;
            }
        }
        return null;
    }

    private void closeAnyIdle() {
        for (PooledServer server : servers.values()) {
            if (!server.idle.isEmpty()) {
                server.idle.peekLast().close(CloseReason.CLOSED_IDLE);
                return;
            }
        }
    }

    /** Nothing is in flight on a connection any more: it becomes idle or is closed. */
    void release(ServerConnection connection) {
        PooledServer server = connection.server;
        if (server.state() == Server.State.UP
                && server.liveCount() <= context.fleetPolicy().connectionLimit(server)) {
            connection.idleSinceMs = context.nowMs();
            server.idle.addFirst(connection);
        } else {
            connection.close(CloseReason.CLOSED_IDLE);
        }
    }

    /** A connection is closed by this side. */
    void connectionClosed(ServerConnection connection, CloseReason reason) {
        PooledServer server = connection.server;
        if (connection.counted) {
            server.closingCount++;
        }
        server.idle.remove(connection);
        server.opening.remove(connection);
        // Idle connections may lead to a machine that is gone: none can be opened to it.
        if (reason == CloseReason.CONNECT_REFUSED || reason == CloseReason.CONNECT_TIMEOUT) {
            closeIdleConnections(server);
        }
    }

    /** A connection is closed, and its server has seen that or had its time to. */
    void descriptorReleased(ServerConnection connection) {
        if (connection.counted) {
            PooledServer server = connection.server;
            connectionCount--;
            server.connectionCount--;
            server.closingCount--;
            context.fleetPolicy().connectionClosed(server);
        }
        ServerConnection successor = connection.successor;
        if (successor != null && !successor.isClosed()) {
            open(successor);
        }
    }

    /**
     * Within a batch: the fleet may allow fewer connections than before. Idle ones are closed now,
     * the others behind their responses.
     */
    public void closeExcessConnections() {
        for (PooledServer server : servers.values()) {
            while (server.liveCount() > context.fleetPolicy().connectionLimit(server)
                    && !server.idle.isEmpty()) {
                server.idle.peekLast().close(CloseReason.CLOSED_IDLE);
            }
        }
    }

    /** Sends nothing new to a server, not even attempts that wait for their connection. */
    private void stopUsing(PooledServer server) {
        closeIdleConnections(server);
        for (ServerConnection connection : new ArrayList<>(server.opening)) {
            connection.close(CloseReason.CANCELLED);
        }
    }

    /** Within a batch: closes the connections to a server that have nothing in flight. */
    public void closeIdleConnections(PooledServer server) {
        while (!server.idle.isEmpty()) {
            server.idle.peekFirst().close(CloseReason.CLOSED_IDLE);
        }
    }

    /** Closes idle connections before their servers do: a command could cross a server's close. */
    private void closeLongIdle() {
        double nowMs = context.nowMs();
        double maxIdleMs = IDLE_TIMEOUT_SHARE * idleTimeoutMs;
        for (PooledServer server : servers.values()) {
            while (!server.idle.isEmpty()
                    && nowMs - server.idle.peekLast().idleSinceMs > maxIdleMs) {
                server.idle.peekLast().close(CloseReason.CLOSED_IDLE);
            }
        }
        context.loop().schedule(idleTimeoutMs / IDLE_CHECKS_PER_TIMEOUT, this::closeLongIdle);
    }

    /** The values of a load report, or null if none are taken or the text has none. */
    double[] readLoadReport(String text) {
        return loadFields.isEmpty() ? null : UsageReport.loadReport(text, loadFields);
    }
}
