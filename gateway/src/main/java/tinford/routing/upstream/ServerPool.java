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
     * Time for which a connection must be idle before it is reused. Data that the server sent after
     * a response has arrived by then, so that it is not taken for the next response: the response
     * is acknowledged at once, so the server's system does not hold the data back.
     */
    private static final double REUSE_DELAY_MS = 10;

    /** Idle connections are closed after this fraction of the server's own idle timeout. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.75;

    private static final int IDLE_CHECKS_PER_TIMEOUT = 16;
    private static final int MAX_REMOVED_IDS = 4096;

    /**
     * Connect timeout with which a connection is not opened, but fails for lack of a descriptor.
     */
    private static final double NO_CONNECT_MS = 0;

    final RoutingContext context;
    final AttemptListener attemptListener;
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
     * @param idleTimeoutMs how long a connection may be idle before its server closes it
     * @param maxConnections limit on the connections to all servers together
     * @param loadFields names of the load report's fields in the order in which the decision module
     *     expects them; empty if it uses no load reports
     */
    public ServerPool(
            RoutingContext context,
            AttemptListener attemptListener,
            double connectTimeoutMs,
            double idleTimeoutMs,
            int maxConnections,
            List<String> loadFields) {
        this.context = context;
        this.attemptListener = attemptListener;
        this.connectTimeoutMs = connectTimeoutMs;
        this.idleTimeoutMs = idleTimeoutMs;
        this.maxConnections = maxConnections;
        this.loadFields = loadFields;
        closeExpiredIdle();
    }

    /**
     * Applies an endpoint list, which is either complete or a set of changes. To be called within a
     * batch.
     *
     * @throws tinford.settings.InvalidSettingsException if the list is invalid; nothing is applied
     *     then
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
        closeAndRemoveUnlisted(new HashSet<>(listed), complete);
    }

    /**
     * Applies an entry to its server.
     *
     * @return whether the server is now another process than before, as it has moved or restarted
     */
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

    /** Closes connections to servers that accept no new attempts, and removes unlisted servers. */
    private void closeAndRemoveUnlisted(Set<Server> listed, boolean complete) {
        List<PooledServer> affected =
                complete ? new ArrayList<>(servers.values()) : sortedByFirstListing(listed);
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

    /** Sorts servers by when they were first listed, so that attempts end in a defined order. */
    private static List<PooledServer> sortedByFirstListing(Set<Server> listed) {
        List<PooledServer> sorted = new ArrayList<>(listed.size());
        listed.forEach(server -> sorted.add((PooledServer) server));
        sorted.sort(Comparator.comparingLong(server -> server.sequence));
        return sorted;
    }

    /** The listed state, except that a server which operators have excluded is draining. */
    private Server.State effectiveState(PooledServer server) {
        return server.listedState == Server.State.UP && exclusions.isExcluded(server.id)
                ? Server.State.DRAINING
                : server.listedState;
    }

    /** Whether a server is or recently was on the endpoint list, or is or was excluded. */
    public boolean isKnown(String serverId) {
        return servers.containsKey(serverId)
                || removedIds.contains(serverId)
                || exclusions.isKnown(serverId);
    }

    /** Applies a record made by {@link ServerExclusions#toRecord}. To be called within a batch. */
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
     * @param timeoutMs how long the gateway waits for the response; sent to the server
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
        server.openingConnections.add(connection);
        connection.send(attempt, timeoutMs);
        if (isAtLimit(server) && !server.idleConnections.isEmpty()) {
            ServerConnection idleConnection = server.idleConnections.peekLast();
            idleConnection.successor = connection;
            idleConnection.close(CloseReason.CLOSED_IDLE);
        } else {
            open(connection);
        }
    }

    private boolean isAtLimit(PooledServer server) {
        return server.connectionCount >= context.fleetPolicy().connectionLimit(server);
    }

    /**
     * Opens a connection if the limits allow it. All connections are opened here, so that the
     * fleet's connection limit for the server is observed.
     */
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
     * Removes and returns an idle connection that can be reused, or returns null. It must have been
     * idle for {@link #REUSE_DELAY_MS} without receiving anything: a late or duplicate response
     * must not be taken for the response to the next command.
     */
    private ServerConnection takeReusable(PooledServer server) {
        double nowMs = context.nowMs();
        for (ServerConnection connection : server.idleConnections) {
            if (nowMs - connection.idleSinceMs >= REUSE_DELAY_MS
                    && connection.hasNoPendingInput()) {
                server.idleConnections.remove(connection);
                return connection;
            }
        }
        return null;
    }

    private void closeAnyIdle() {
        for (PooledServer server : servers.values()) {
            if (!server.idleConnections.isEmpty()) {
                server.idleConnections.peekLast().close(CloseReason.CLOSED_IDLE);
                return;
            }
        }
    }

    /** Called when an attempt has ended: the connection becomes idle or is closed. */
    void release(ServerConnection connection) {
        PooledServer server = connection.server;
        if (server.state() == Server.State.UP
                && server.liveConnectionCount() <= context.fleetPolicy().connectionLimit(server)) {
            connection.idleSinceMs = context.nowMs();
            server.idleConnections.addFirst(connection);
        } else {
            connection.close(CloseReason.CLOSED_IDLE);
        }
    }

    /** Called when this side has closed a connection. */
    void connectionClosed(ServerConnection connection, CloseReason reason) {
        PooledServer server = connection.server;
        if (connection.counted) {
            server.closedConnectionCount++;
        }
        server.idleConnections.remove(connection);
        server.openingConnections.remove(connection);
        // The machine may be down, as no connection can be opened: the idle ones may be dead.
        if (reason == CloseReason.CONNECT_REFUSED || reason == CloseReason.CONNECT_TIMEOUT) {
            closeIdleConnections(server);
        }
    }

    /**
     * Called when the server has seen the close of a connection, or the wait for it has expired.
     */
    void descriptorReleased(ServerConnection connection) {
        if (connection.counted) {
            PooledServer server = connection.server;
            connectionCount--;
            server.connectionCount--;
            server.closedConnectionCount--;
            context.fleetPolicy().connectionClosed(server);
        }
        ServerConnection successor = connection.successor;
        if (successor != null && !successor.isClosed()) {
            open(successor);
        }
    }

    /**
     * Closes connections if the fleet allows fewer than before: idle ones now, the others after
     * their responses. To be called within a batch.
     */
    public void closeExcessConnections() {
        for (PooledServer server : servers.values()) {
            while (server.liveConnectionCount() > context.fleetPolicy().connectionLimit(server)
                    && !server.idleConnections.isEmpty()) {
                server.idleConnections.peekLast().close(CloseReason.CLOSED_IDLE);
            }
        }
    }

    /** Closes idle connections to a server, and cancels attempts that wait for a connection. */
    private void stopUsing(PooledServer server) {
        closeIdleConnections(server);
        for (ServerConnection connection : new ArrayList<>(server.openingConnections)) {
            connection.close(CloseReason.CANCELLED);
        }
    }

    /** Closes the idle connections to a server. To be called within a batch. */
    public void closeIdleConnections(PooledServer server) {
        while (!server.idleConnections.isEmpty()) {
            server.idleConnections.peekFirst().close(CloseReason.CLOSED_IDLE);
        }
    }

    /**
     * Closes idle connections before their servers do, as a command sent while its server closes
     * the connection would be lost.
     */
    private void closeExpiredIdle() {
        double nowMs = context.nowMs();
        double maxIdleMs = IDLE_TIMEOUT_FRACTION * idleTimeoutMs;
        for (PooledServer server : servers.values()) {
            while (!server.idleConnections.isEmpty()
                    && nowMs - server.idleConnections.peekLast().idleSinceMs > maxIdleMs) {
                server.idleConnections.peekLast().close(CloseReason.CLOSED_IDLE);
            }
        }
        context.loop().schedule(idleTimeoutMs / IDLE_CHECKS_PER_TIMEOUT, this::closeExpiredIdle);
    }

    /** The values of a load report, or null if load reports are unused or the text has none. */
    double[] readLoadReport(String text) {
        return loadFields.isEmpty() ? null : UsageReport.loadReport(text, loadFields);
    }
}
