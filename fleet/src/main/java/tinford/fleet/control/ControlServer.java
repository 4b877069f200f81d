package tinford.fleet.control;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.RoutingHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.xnio.Options;
import tinford.fleet.control.ControlSettings.VoterSettings;
import tinford.fleet.store.RaftLog;

/**
 * One control server: its role, the feed of revisions, and the HTTP service.
 *
 * <p>Memory is bounded: the state by {@link tinford.fleet.config.ConfigurationLimits}, the lines
 * kept for followers by {@link RevisionFeed}, watches by {@link ControlSettings#maxFollowers()}
 * with one line each, proposals by {@link PendingProposals#CAPACITY}, other connections by {@link
 * #OTHER_CONNECTIONS}.
 */
public final class ControlServer implements AutoCloseable {
    /** The watch of a follower, and the connection for its reports. */
    static final int CONNECTIONS_PER_FOLLOWER = 2;

    /** Connections for anything but followers. */
    static final int OTHER_CONNECTIONS = 128;

    /** Any request but a watch is received, and its response sent, within this time. */
    static final int EXCHANGE_TIMEOUT_MS = 15_000;

    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 4;
    private static final int MAX_HEADER_BYTES = 8192;
    private static final int MAX_HEADERS = 32;
    private static final int MAX_PARAMETERS = 8;

    /** The operating system's buffer of one connection. */
    private static final int SEND_BUFFER_BYTES = 64 << 10;

    private static final int REQUEST_HEAD_TIMEOUT_MS = 5000;
    private static final int IDLE_CONNECTION_TIMEOUT_MS = 60_000;
    private static final int SHUTDOWN_TIMEOUT_MS = 2000;

    /** Creates the role, which publishes revisions to the feed. */
    interface RoleFactory {
        ControlRole create(RevisionFeed feed) throws IOException;
    }

    private final ControlSettings settings;
    private final ExecutorService snapshotExecutor;
    private final RevisionFeed feed;
    private final WatchHub hub;
    private final FollowerReports reports;
    private final ControlRole role;
    private final Undertow http;
    private final InetSocketAddress address;
    private boolean closed;

    private ControlServer(ControlSettings settings, RoleFactory roleFactory) throws IOException {
        this.settings = settings;
        snapshotExecutor =
                Executors.newSingleThreadExecutor(new DaemonThreadFactory("control-snapshots"));
        feed = new RevisionFeed(settings.fleet(), snapshotExecutor);
        hub = new WatchHub(settings.maxFollowers());
        reports = new FollowerReports(2 * settings.maxFollowers());
        feed.addListener(hub::wakeAll);
        try {
            role = roleFactory.create(feed);
        } catch (IOException | RuntimeException e) {
            snapshotExecutor.shutdownNow();
            throw e;
        }
        http = newHttpServer();
        try {
            http.start();
        } catch (RuntimeException e) {
            role.close();
            snapshotExecutor.shutdownNow();
            throw new IOException("HTTP not served at " + settings.listen() + ": " + e, e);
        }
        address = (InetSocketAddress) http.getListenerInfo().get(0).getAddress();
        ControlLog.started(settings, address.getPort());
    }

    /**
     * Starts a server; returns before there is a quorum.
     *
     * @throws IOException if the log can't be opened or the address can't be bound
     */
    public static ControlServer start(ControlSettings settings) throws IOException {
        return start(settings, feed -> newRole(settings, feed));
    }

    static ControlServer start(ControlSettings settings, RoleFactory roleFactory)
            throws IOException {
        return new ControlServer(settings, roleFactory);
    }

    private static ControlRole newRole(ControlSettings settings, RevisionFeed feed)
            throws IOException {
        if (settings.role() == Role.REPLICA) {
            return new Replica(settings, feed);
        }
        VoterSettings voter = settings.voters();
        return new Voter(
                settings.fleet(),
                feed,
                voter.decisionTimeoutMs(),
                stateMachine ->
                        new RaftLog(
                                voter.number(),
                                voter.members(),
                                settings.folder(),
                                stateMachine,
                                Voter.logBounds(voter)));
    }

    private Undertow newHttpServer() {
        int connections = CONNECTIONS_PER_FOLLOWER * settings.maxFollowers() + OTHER_CONNECTIONS;
        return Undertow.builder()
                .addHttpListener(
                        settings.listen().getPort(),
                        settings.listen().getAddress().getHostAddress())
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(WORKER_THREADS)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .setServerOption(UndertowOptions.MAX_PARAMETERS, MAX_PARAMETERS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_HEAD_TIMEOUT_MS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_CONNECTION_TIMEOUT_MS)
                .setServerOption(UndertowOptions.SHUTDOWN_TIMEOUT, SHUTDOWN_TIMEOUT_MS)
                .setSocketOption(Options.SEND_BUFFER, SEND_BUFFER_BYTES)
                .setSocketOption(Options.CONNECTION_HIGH_WATER, connections)
                .setSocketOption(Options.CONNECTION_LOW_WATER, connections)
                .setHandler(newRouter())
                .build();
    }

    private HttpHandler newRouter() {
        return new RoutingHandler()
                .get(
                        "/configuration",
                        new WatchHandler(settings.fleet(), feed, hub, settings.timing()))
                .get("/followers", withDeadline(new FollowersHandler(feed, hub, reports)))
                .post(
                        "/followers/{" + ReportHandler.FOLLOWER_PARAMETER + "}",
                        withDeadline(new ReportHandler(reports)))
                .post("/proposals", withDeadline(ProposalHandler.limited(role)))
                .get("/status", withDeadline(new StatusHandler(settings, role, feed, hub)));
    }

    private static HttpHandler withDeadline(HttpHandler handler) {
        return new ExchangeDeadline(EXCHANGE_TIMEOUT_MS, handler);
    }

    /** The address at which HTTP is served. */
    public InetSocketAddress address() {
        return address;
    }

    /** Ends the watches, then closes the role with its log. */
    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        hub.closeAll();
        http.stop();
        role.close();
        snapshotExecutor.shutdownNow();
        ControlLog.stopped(settings.name());
    }
}
