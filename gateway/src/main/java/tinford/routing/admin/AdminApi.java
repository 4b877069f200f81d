package tinford.routing.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import tinford.protocol.HttpRequestHead;
import tinford.routing.RoutingContext;
import tinford.routing.upstream.ServerExclusions;
import tinford.routing.upstream.ServerPool;
import tinford.transport.CloseReason;
import tinford.transport.Listener;

/**
 * The HTTP/1.1 API for operators, with one call per connection. Its descriptors are not part of the
 * budget for other connections, so that it stays reachable however many clients are connected.
 */
public final class AdminApi {
    /** Connections kept free for new calls, by closing the oldest call. */
    private static final int MAX_HEADROOM_CONNECTIONS = 4;

    private static final int HEADROOM_DIVISOR = 4;

    /** Calls that the gateway's other process receives must take effect within a second. */
    private static final double LOG_POLL_INTERVAL_MS = 50;

    private static final String SERVERS_PREFIX = "/v1/servers/";
    private static final int SERVER_PATH_PARTS = 5;
    private static final String EXCLUDE_ACTION = "suspend";
    private static final String READMIT_ACTION = "resume";
    private static final String OK = "200 OK";
    private static final String NOT_FOUND = "404 Not Found";
    private static final String METHOD_NOT_ALLOWED = "405 Method Not Allowed";
    private final RoutingContext context;
    private final ServerPool servers;
    private final HandoverLog exclusionLog;
    private final int maxConnections;
    private final ArrayDeque<AdminCall> calls = new ArrayDeque<>();
    private boolean ready = true;

    /**
     * @param exclusionLog log shared with the gateway's other process, or null if there is no other
     *     process
     * @param maxConnections limit on concurrent connections; at least 4
     */
    public AdminApi(
            RoutingContext context,
            ServerPool servers,
            HandoverLog exclusionLog,
            int maxConnections) {
        this.context = context;
        this.servers = servers;
        this.exclusionLog = exclusionLog;
        this.maxConnections = maxConnections;
    }

    /**
     * Applies the exclusions in the log, and starts to poll it. To be called within a batch, before
     * the first endpoint list.
     */
    public void start() {
        applyNewExclusions();
        scheduleLogPoll();
    }

    /**
     * Starts to accept calls.
     *
     * @throws IOException if the listener cannot be bound to the address
     */
    public void listen(InetSocketAddress address) throws IOException {
        new Listener(context.loop(), address, false, maxConnections, this::accept);
    }

    private AdminCall accept() {
        int headroom = Math.min(MAX_HEADROOM_CONNECTIONS, maxConnections / HEADROOM_DIVISOR);
        if (calls.size() >= maxConnections - headroom) {
            calls.peek().close(CloseReason.CLOSED_IDLE);
        }
        AdminCall call = new AdminCall(this, context.loop());
        calls.add(call);
        return call;
    }

    void callEnded(AdminCall call) {
        calls.remove(call);
    }

    /**
     * Reports this process as not ready from now on, as it accepts no more clients. To be called
     * within a batch.
     */
    public void startDraining() {
        ready = false;
    }

    private void scheduleLogPoll() {
        context.loop()
                .schedule(
                        LOG_POLL_INTERVAL_MS,
                        () -> {
                            applyNewExclusions();
                            scheduleLogPoll();
                        });
    }

    private void applyNewExclusions() {
        if (exclusionLog == null) {
            return;
        }
        try {
            exclusionLog.readNew().forEach(servers::applyExclusion);
        } catch (IOException e) {
            warnLogUnavailable(e);
        }
    }

    private void warnLogUnavailable(IOException cause) {
        context.warn("exclusion log not accessible", "", cause);
    }

    /** Executes a call; returns the status code and reason phrase. */
    String handle(HttpRequestHead call) {
        if (call.path.equals("/v1/readyz")) {
            return readiness(call);
        }
        String[] parts = call.path.split("/");
        if (parts.length != SERVER_PATH_PARTS || !call.path.startsWith(SERVERS_PREFIX)) {
            return NOT_FOUND;
        }
        String serverId = parts[3];
        String action = parts[4];
        if (!action.equals(EXCLUDE_ACTION) && !action.equals(READMIT_ACTION)) {
            return NOT_FOUND;
        }
        if (!call.method.equals("POST")) {
            return METHOD_NOT_ALLOWED;
        }
        if (!servers.isKnown(serverId)) {
            return NOT_FOUND;
        }
        return setExcluded(serverId, action.equals(EXCLUDE_ACTION));
    }

    private String readiness(HttpRequestHead call) {
        if (!call.method.equals("GET")) {
            return METHOD_NOT_ALLOWED;
        }
        return ready ? OK : "503 Service Unavailable";
    }

    /** Excludes or readmits a server; fails if that cannot be stored in the log. */
    private String setExcluded(String serverId, boolean excluded) {
        String exclusion = ServerExclusions.toRecord(serverId, excluded, context.nowMs());
        if (exclusionLog == null) {
            servers.applyExclusion(exclusion);
            return OK;
        }
        try {
            exclusionLog.append(exclusion);
        } catch (IOException e) {
            warnLogUnavailable(e);
            return "500 Internal Server Error";
        }
        applyNewExclusions();
        return OK;
    }
}
