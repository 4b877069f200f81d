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
 * kept for followers by {@link RevisionFeed}, watches by {@link ControlSettings#followers()} with
 * one line each, proposals by {@link PendingProposals#CAPACITY}, other connections by {@link
 * #OTHER_CONNECTIONS}.
 */
public final class ControlServer implements AutoCloseable {
    /** Of one follower: its watch, and the connection that it reports over. */
    static final int CONNECTIONS_OF_FOLLOWER = 2;

    /** Connections beside those of followers. */
    static final int OTHER_CONNECTIONS = 128;

    /** Any request but a watch is answered, and its answer taken in, within this. */
    static final int EXCHANGE_MS = 15_000;

    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 4;
    private static final int HEADER_BYTES = 8192;
    private static final int HEADERS = 32;
    private static final int PARAMETERS = 8;

    /** Of one connection, in the operating system. */
    private static final int SEND_BUFFER_BYTES = 64 << 10;

    private static final int HEAD_WITHIN_MS = 5000;
    private static final int IDLE_CONNECTION_MS = 60_000;
    private static final int CLOSE_WITHIN_MS = 2000;

    /** Makes the role that feeds the server. */
    interface RoleOpener {
        ControlRole open(RevisionFeed feed) throws IOException;
    }

    private final ControlSettings settings;
    private final ExecutorService snapshotMaker;
    private final RevisionFeed feed;
    private final WatchHub hub;
    private final FollowerReports reports;
    private final ControlRole role;
    private final Undertow http;
    private final InetSocketAddress address;
    private boolean closed;

    private ControlServer(ControlSettings settings, RoleOpener opener) throws IOException {
        this.settings = settings;
        snapshotMaker = Executors.newSingleThreadExecutor(ControlServer::snapshotThread);
        feed = new RevisionFeed(settings.fleet(), snapshotMaker);
        hub = new WatchHub(settings.followers());
        reports = new FollowerReports(2 * settings.followers());
        feed.addListener(hub::wakeAll);
        try {
            role = opener.open(feed);
        } catch (IOException | RuntimeException e) {
            snapshotMaker.shutdownNow();
            throw e;
        }
        http = http();
        try {
            http.start();
        } catch (RuntimeException e) {
            role.close();
            snapshotMaker.shutdownNow();
            throw new IOException("HTTP not served at " + settings.listen() + ": " + e, e);
        }
        address = (InetSocketAddress) http.getListenerInfo().get(0).getAddress();
        ControlLog.started(settings, address.getPort());
    }

    /** Starts a server; whether there is a quorum shows later. */
    public static ControlServer start(ControlSettings settings) throws IOException {
        return start(settings, feed -> open(settings, feed));
    }

    static ControlServer start(ControlSettings settings, RoleOpener opener) throws IOException {
        return new ControlServer(settings, opener);
    }

    private static ControlRole open(ControlSettings settings, RevisionFeed feed)
            throws IOException {
        if (settings.role() == Role.REPLICA) {
            return new Replica(settings, feed);
        }
        VoterSettings voter = settings.voters();
        return new Voter(
                settings.fleet(),
                feed,
                voter.decideWithinMs(),
                reader ->
                        new RaftLog(
                                voter.number(),
                                voter.members(),
                                settings.folder(),
                                reader,
                                Voter.logBounds(voter)));
    }

    private static Thread snapshotThread(Runnable task) {
        Thread thread = new Thread(task, "control-snapshots");
        thread.setDaemon(true);
        return thread;
    }

    private Undertow http() {
        int connections = CONNECTIONS_OF_FOLLOWER * settings.followers() + OTHER_CONNECTIONS;
        return Undertow.builder()
                .addHttpListener(
                        settings.listen().getPort(),
                        settings.listen().getAddress().getHostAddress())
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(WORKER_THREADS)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, HEADER_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADERS, HEADERS)
                .setServerOption(UndertowOptions.MAX_PARAMETERS, PARAMETERS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_WITHIN_MS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_CONNECTION_MS)
                .setServerOption(UndertowOptions.SHUTDOWN_TIMEOUT, CLOSE_WITHIN_MS)
                .setSocketOption(Options.SEND_BUFFER, SEND_BUFFER_BYTES)
                .setSocketOption(Options.CONNECTION_HIGH_WATER, connections)
                .setSocketOption(Options.CONNECTION_LOW_WATER, connections)
                .setHandler(routes())
                .build();
    }

    private HttpHandler routes() {
        return new RoutingHandler()
                .get(
                        "/configuration",
                        new WatchHandler(settings.fleet(), feed, hub, settings.timing()))
                .get("/followers", timed(new FollowersHandler(feed, hub, reports)))
                .post("/followers/{" + ReportHandler.ID + "}", timed(new ReportHandler(reports)))
                .post("/proposals", timed(ProposalHandler.limited(role)))
                .get("/status", timed(new StatusHandler(settings, role, feed, hub)));
    }

    private static HttpHandler timed(HttpHandler handler) {
        return new ExchangeDeadline(EXCHANGE_MS, handler);
    }

    /** Where HTTP is served. */
    public InetSocketAddress address() {
        return address;
    }

    /** Ends the watches, then the role with its log. */
    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        hub.closeAll();
        http.stop();
        role.close();
        snapshotMaker.shutdownNow();
        ControlLog.stopped(settings.name());
    }
}
