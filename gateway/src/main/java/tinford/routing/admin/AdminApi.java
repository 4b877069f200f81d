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
 * The operators' HTTP/1.1 API, with one call a connection. Its descriptors are its own, so that it
 * can be reached however many clients there are.
 */
public final class AdminApi {
    /** Places for new calls; the oldest call that does not end is closed for one. */
    private static final int MAX_HEADROOM_CONNECTIONS = 4;

    private static final int HEADROOM_DIVISOR = 4;

    /** Calls arrive through the gateway's other process as well; they take effect in a second. */
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
     * @param exclusionLog shared with the gateway's other process, or null where there is none
     * @param maxConnections at once, four at least
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

    /** Within a batch, before the first endpoint list: applies the exclusions in the log. */
    public void start() {
        applyNewExclusions();
        scheduleLogPoll();
    }

    /**
     * Starts to accept calls.
     *
     * @throws IOException if the address can't be listened at
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

    /** Within a batch: this process takes no more clients, and is no longer ready. */
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

    /** Acts on a call and gives the status line without the version. */
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

    /** Fails if the exclusion would not outlive this process. */
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
