package tinford.program;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.System.Logger.Level;
import java.lang.reflect.Proxy;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import tinford.api.AttemptLimits;
import tinford.api.DecisionModule;
import tinford.routing.Addresses;
import tinford.routing.admin.AdminApi;
import tinford.routing.admin.HandoverLog;
import tinford.routing.catalog.Catalog;
import tinford.routing.client.ClientLimits;
import tinford.routing.client.ClientPool;
import tinford.routing.counter.CounterClient;
import tinford.routing.discovery.DiscoveryWatch;
import tinford.routing.dispatch.RequestDispatcher;
import tinford.routing.peer.PeerMessenger;
import tinford.routing.upstream.ServerPool;
import tinford.settings.InvalidSettingsException;
import tinford.settings.JsonFields;
import tinford.settings.SettingsReader;
import tinford.transport.DescriptorBudget;
import tinford.transport.HandoverLock;

/** The gateway as a program: what it is handed, start, new configurations, and its end. */
public final class GatewayProcess {
    private static final System.Logger LOG = System.getLogger("tinford.program");

    /** What a new configuration does not change in a gateway that runs. */
    private static final List<String> FIXED =
            List.of(
                    "listen",
                    "limits",
                    "peer_listen",
                    "peers",
                    "peers_all",
                    "management",
                    "settings");

    /**
     * Descriptors that are no connections: the jar, the selectors, the listening sockets, the logs.
     */
    private static final int OWN_DESCRIPTORS = 40;

    /**
     * Of these, the sockets; two processes of a gateway may hold no more sockets together than one
     * descriptors.
     */
    private static final int OWN_SOCKETS = 4;

    /** With fewer for connections, one party or another would have none. */
    private static final int LEAST_CONNECTIONS = 8;

    private static final int MOST_SOCKETS = 1 << 20; // more are no use to one thread

    /** Operators' connections at once, or a sixteenth of the descriptors. */
    private static final int TO_OPERATORS = 24;

    /**
     * Clients hold a third of the descriptors for reqs, as they count them; idle ones go before
     * they get there.
     */
    private static final int IDLE_PART = 4;

    /**
     * Of the connections to the counter one that hangs holds up a part of the calls; counters take
     * many more from an address.
     */
    private static final int TO_COUNTER = 4;

    /**
     * Discovery's agent answers at once; one that has said nothing by then is down, and the list
     * known is all there is.
     */
    private static final double FIRST_LIST = 400;

    private GatewayProcess() {}

    /**
     * Starts a gateway, which then lives in its I/O thread; the result is an exit code, or -1 when
     * it runs.
     */
    public static int start(
            Map<String, String> env, PrintStream err, DecisionModule.Factory maker) {
        return start(env, err, maker, null);
    }

    /**
     * @param companion acts for a fleet beside this gateway, and has the datagrams between
     *     gateways; null for a gateway alone
     */
    public static int start(
            Map<String, String> env,
            PrintStream err,
            DecisionModule.Factory maker,
            FleetExtension companion) {
        try {
            run(env, maker, companion);
            return -1;
        } catch (InvalidSettingsException e) {
            err.println("tinford: " + e.getMessage());
        } catch (BindException e) {
            err.println("tinford: an address to listen on is not free: " + e.getMessage());
        } catch (IOException e) {
            err.println("tinford: " + e);
        }
        return 1;
    }

    private static void run(
            Map<String, String> env, DecisionModule.Factory maker, FleetExtension companion)
            throws IOException {
        JsonFactory json = new JsonFactory();
        AtomicReference<FileTime> seen = new AtomicReference<>(written(env.get("ROUTER_CONFIG")));
        JsonFields given = read(json, env.get("ROUTER_CONFIG"));
        JsonFields set = given.object("settings");
        AttemptLimits limits = SettingsReader.attemptLimits(set);
        int sockets =
                (int)
                        Math.max(
                                0,
                                Math.min(MOST_SOCKETS, given.object("limits").integer("sockets")));
        boolean managed = given.has("management");
        int operated = managed ? Math.min(TO_OPERATORS, Math.max(4, sockets / 16)) : 0;
        int most = sockets - OWN_DESCRIPTORS - operated;
        if (most < LEAST_CONNECTIONS) {
            throw given.object("limits")
                    .invalid(
                            "sockets", OWN_DESCRIPTORS + operated + LEAST_CONNECTIONS + " or more");
        }
        long bytes =
                Runtime.getRuntime().maxMemory()
                        / 4; // for buffers, and as much for reqs: half is left
        RequestDispatcher desk =
                new RequestDispatcher(
                        SettingsReader.createModule(maker, seed(given), set),
                        limits.maxAttempts,
                        most,
                        bytes);
        double connectWithin = SettingsReader.connectTimeoutMs(set);
        double idleMost = SettingsReader.idleTimeoutMs(set);
        ServerPool servers =
                new ServerPool(desk, desk, connectWithin, idleMost, most, loadNames(set));
        ClientPool clients =
                new ClientPool(
                        desk,
                        new Catalog(SettingsReader.requestClasses(set), SettingsReader.plans(set)),
                        new ClientLimits(
                                SettingsReader.gatewayIdentity(set).gatewayCount,
                                SettingsReader.maxRequestUnits(set),
                                idleMost,
                                SettingsReader.maxOpenRequests(set),
                                bytes,
                                desk.loop.descriptorBudget().limit(DescriptorBudget.Party.CLIENTS),
                                sockets / IDLE_PART));
        CounterClient counter =
                SettingsReader.counterSettings(set).present
                        ? new CounterClient(
                                desk,
                                Addresses.of(given, "counter"),
                                connectWithin,
                                SettingsReader.counterSettings(set).timeoutMs,
                                TO_COUNTER)
                        : null;
        JsonFields known = given.objectOrEmpty("known");
        DiscoveryWatch watch =
                new DiscoveryWatch(
                        desk,
                        Addresses.of(given, "discovery"),
                        connectWithin,
                        servers::updateEndpoints,
                        json,
                        known.integer("seq", 0),
                        new Random(seed(given)));
        PeerMessenger peers =
                limits.gossipAllowed && companion == null
                        ? new PeerMessenger(
                                desk,
                                Addresses.of(given, "peer_listen"),
                                addresses(given, "peers"),
                                Addresses.of(given, "peers_all"))
                        : null;
        desk.attach(clients, servers, counter, watch, peers);
        HandoverLock turn = managed ? turn(env.get("TMPDIR"), given.text("name")) : null;
        AdminApi operators =
                managed
                        ? new AdminApi(desk, servers, turn == null ? null : record(turn), operated)
                        : null;
        Handover handover =
                new Handover(
                        desk,
                        clients,
                        operators,
                        turn,
                        Addresses.of(given, "listen"),
                        Math.max(0, most - (sockets / 2 - OWN_SOCKETS - operated)));
        Thread leave =
                new Thread(
                        () -> {
                            if (companion != null) {
                                desk.loop.execute(companion::leaves);
                            }
                            handover.leave(companion == null ? () -> {} : companion::answered);
                        },
                        "leave");
        Runtime.getRuntime()
                .addShutdownHook(
                        leave); // guards clients against a SIGTERM right behind the opening of the
        // door
        try {
            CountDownLatch tried = new CountDownLatch(1);
            AtomicReference<IOException> shut = new AtomicReference<>();
            AtomicReference<InvalidSettingsException> wrong = new AtomicReference<>();
            desk.loop.execute(
                    () -> {
                        desk.start();
                        if (managed) {
                            operators.start();
                        }
                        if (companion != null) {
                            try {
                                companion.configures(desk::useCatalog);
                                desk.joinFleet(
                                        companion.join(
                                                SettingsReader.gatewayIdentity(set),
                                                desk.loop::execute));
                            } catch (IOException e) {
                                shut.set(e);
                                tried.countDown();
                                return;
                            }
                            accompany(desk, servers, companion);
                        }
                        try {
                            if (given.has("known")) {
                                servers.updateEndpoints(known);
                            }
                        } catch (
                                InvalidSettingsException
                                        e) { // guards a start that would wait for good behind it
                            wrong.set(e);
                            tried.countDown();
                            return;
                        }
                        if (counter != null) {
                            counter.connect();
                        }
                        // guards against a list out of date: what is pushed counts as told from
                        // this process's first moment on
                        watch.onFirstLine(
                                SettingsReader.watchRequired(set) ? 0 : FIRST_LIST,
                                () -> {
                                    try {
                                        if (!handover.first()) {
                                            handover.await();
                                        }
                                    } catch (IOException e) {
                                        shut.set(e);
                                    }
                                    tried.countDown();
                                });
                        if (!SettingsReader.watchRequired(set)) {
                            watch.setWanted(true);
                        }
                    });
            // guards against the end that SIGHUP is to a JVM by itself, also right behind the
            // opening of the door
            onHangUp(
                    () -> {
                        seen.set(written(env.get("ROUTER_CONFIG")));
                        reread(json, env.get("ROUTER_CONFIG"), given, desk, counter, watch);
                    });
            await(tried);
            if (wrong.get() != null) {
                desk.loop.close();
                throw wrong.get();
            }
            if (shut.get() != null) {
                desk.loop.close();
                throw shut.get();
            }
            if (managed) {
                operators.listen(Addresses.of(given, "management"));
            }
        } catch (IOException | InvalidSettingsException e) {
            Runtime.getRuntime().removeShutdownHook(leave); // the exit code tells of it
            throw e;
        }
        // guards against a signal that comes late or never: discovery leaves the address that it
        // had, and the file says where to
        watch.onLost(
                () -> {
                    FileTime now = written(env.get("ROUTER_CONFIG"));
                    if (now != null && !now.equals(seen.getAndSet(now))) {
                        reread(json, env.get("ROUTER_CONFIG"), given, desk, counter, watch);
                    }
                });
    }

    private static void accompany(
            RequestDispatcher desk, ServerPool servers, FleetExtension companion) {
        desk.loop.schedule(
                companion.every(),
                () -> {
                    companion.tick();
                    servers.closeExcessConnections();
                    accompany(desk, servers, companion);
                });
    }

    private static void await(CountDownLatch what) throws IOException {
        try {
            what.await();
        } catch (InterruptedException e) {
            throw new IOException("the start was cut short", e);
        }
    }

    /**
     * The JDK has no other way to hear a signal, and the compiler warns wherever this one is named;
     * hence by its name.
     */
    private static void onHangUp(Runnable then) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object heard =
                    Proxy.newProxyInstance(
                            handler.getClassLoader(),
                            new Class<?>[] {handler},
                            (on, called, with) -> {
                                then.run();
                                return null;
                            });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), heard);
        } catch (ReflectiveOperationException e) {
            LOG.log(Level.WARNING, "no new configuration is taken while running: " + e);
        }
    }

    /**
     * At SIGHUP: discovery and counter move to the addresses that the file names now; what can't be
     * read changes nothing.
     */
    private static void reread(
            JsonFactory json,
            String path,
            JsonFields before,
            RequestDispatcher desk,
            CounterClient counter,
            DiscoveryWatch watch) {
        try {
            JsonFields given = read(json, path);
            InetSocketAddress discovery = Addresses.of(given, "discovery");
            InetSocketAddress count = counter == null ? null : Addresses.of(given, "counter");
            desk.loop.execute(
                    () -> {
                        watch.moveTo(discovery);
                        if (counter != null) {
                            counter.moveTo(count);
                        }
                    });
            List<String> kept = FIXED.stream().filter(f -> !before.sameValue(given, f)).toList();
            LOG.log(
                    Level.INFO,
                    "configuration read again: discovery "
                            + discovery
                            + ", counter "
                            + count
                            + (kept.isEmpty() ? "" : "; takes a restart: " + kept));
        } catch (InvalidSettingsException e) {
            LOG.log(Level.WARNING, "configuration not taken: " + e.getMessage());
        }
    }

    /**
     * Null where no folder is handed that a successor would see: then this process is the only one
     * of its gateway.
     */
    private static HandoverLock turn(String folder, String name) {
        try {
            return folder == null || folder.isEmpty()
                    ? null
                    : new HandoverLock(Path.of(folder), name);
        } catch (IOException e) {
            LOG.log(Level.WARNING, "nothing is shared with another process of this gateway: " + e);
            return null;
        }
    }

    private static HandoverLog record(HandoverLock turn) {
        return new HandoverLog() {
            @Override
            public void append(String line) throws IOException {
                turn.appendLine(line);
            }

            @Override
            public List<String> readNew() throws IOException {
                return turn.readNewLines();
            }
        };
    }

    /** When the configuration was last written, or null. */
    private static FileTime written(String path) {
        try {
            return path == null ? null : Files.getLastModifiedTime(Path.of(path));
        } catch (IOException e) {
            return null;
        }
    }

    private static JsonFields read(JsonFactory json, String path) {
        if (path == null) {
            throw new InvalidSettingsException(
                    "environment", "ROUTER_CONFIG", "the path of the configuration");
        }
        try {
            return JsonFields.of(
                    json, "configuration", Files.readString(Path.of(path), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new InvalidSettingsException(
                    "environment", "ROUTER_CONFIG", "a file that can be read, not " + path);
        }
    }

    private static long seed(JsonFields given) {
        try {
            return Long.parseUnsignedLong(given.text("seed"), 16);
        } catch (NumberFormatException e) {
            throw given.invalid("seed", "a number in hex digits");
        }
    }

    private static List<String> loadNames(JsonFields set) {
        JsonFields load = set.objectOrEmpty("LoadInfo");
        boolean silent =
                !load.has("How") || load.text("How").equals("silent") || !load.has("Fields");
        return silent ? List.of() : load.texts("Fields");
    }

    private static List<InetSocketAddress> addresses(JsonFields given, String field) {
        List<InetSocketAddress> found = new ArrayList<>();
        for (String text : given.texts(field)) {
            InetSocketAddress a = Addresses.of(text);
            if (a == null) {
                throw given.invalid(field, "numeric host:port, not " + text);
            }
            found.add(a);
        }
        return found;
    }
}
