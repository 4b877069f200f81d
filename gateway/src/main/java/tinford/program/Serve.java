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
import tinford.api.Gateway;
import tinford.api.Limits;
import tinford.handed.BadInput;
import tinford.handed.Fields;
import tinford.handed.Handed;
import tinford.routing.Addresses;
import tinford.routing.Catalog;
import tinford.routing.Clients;
import tinford.routing.Counter;
import tinford.routing.Desk;
import tinford.routing.Operators;
import tinford.routing.Peers;
import tinford.routing.Record;
import tinford.routing.Servers;
import tinford.routing.Watch;
import tinford.transport.Descriptors;
import tinford.transport.Turn;

/** The gateway as a program: what it is handed, start, new configurations, and its end. */
public final class Serve {
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

    private Serve() {}

    /**
     * Starts a gateway, which then lives in its I/O thread; the result is an exit code, or -1 when
     * it runs.
     */
    public static int start(Map<String, String> env, PrintStream err, Gateway.Maker maker) {
        return start(env, err, maker, null);
    }

    /**
     * @param companion acts for a fleet beside this gateway, and has the datagrams between
     *     gateways; null for a gateway alone
     */
    public static int start(
            Map<String, String> env, PrintStream err, Gateway.Maker maker, Companion companion) {
        try {
            run(env, maker, companion);
            return -1;
        } catch (BadInput e) {
            err.println("tinford: " + e.getMessage());
        } catch (BindException e) {
            err.println("tinford: an address to listen on is not free: " + e.getMessage());
        } catch (IOException e) {
            err.println("tinford: " + e);
        }
        return 1;
    }

    private static void run(Map<String, String> env, Gateway.Maker maker, Companion companion)
            throws IOException {
        JsonFactory json = new JsonFactory();
        AtomicReference<FileTime> seen = new AtomicReference<>(written(env.get("ROUTER_CONFIG")));
        Fields given = read(json, env.get("ROUTER_CONFIG"));
        Fields set = given.part("settings");
        Limits limits = Handed.limits(set);
        int sockets =
                (int) Math.max(0, Math.min(MOST_SOCKETS, given.part("limits").whole("sockets")));
        boolean managed = given.has("management");
        int operated = managed ? Math.min(TO_OPERATORS, Math.max(4, sockets / 16)) : 0;
        int most = sockets - OWN_DESCRIPTORS - operated;
        if (most < LEAST_CONNECTIONS) {
            throw given.part("limits")
                    .bad("sockets", OWN_DESCRIPTORS + operated + LEAST_CONNECTIONS + " or more");
        }
        long bytes =
                Runtime.getRuntime().maxMemory()
                        / 4; // for buffers, and as much for reqs: half is left
        Desk desk =
                new Desk(Handed.make(maker, seed(given), set), limits.maxDispatches, most, bytes);
        double connectWithin = Handed.connectWithin(set);
        double idleMost = Handed.idleMost(set);
        Servers servers = new Servers(desk, connectWithin, idleMost, most, loadNames(set));
        Clients clients =
                new Clients(
                        desk,
                        new Catalog(Handed.frontends(set), Handed.plans(set)),
                        Handed.place(set).gateways,
                        Handed.mostUnits(set),
                        idleMost,
                        Handed.mostOpen(set),
                        bytes,
                        desk.loop.descriptors().most(Descriptors.Party.CLIENTS),
                        sockets / IDLE_PART);
        Counter counter =
                Handed.counter(set).present
                        ? new Counter(
                                desk,
                                Addresses.of(given, "counter"),
                                connectWithin,
                                Handed.counter(set).timeout,
                                TO_COUNTER)
                        : null;
        Fields known = given.optional("known");
        Watch watch =
                new Watch(
                        desk,
                        Addresses.of(given, "discovery"),
                        connectWithin,
                        servers,
                        json,
                        known.whole("seq", 0),
                        new Random(seed(given)));
        Peers peers =
                limits.peers && companion == null
                        ? new Peers(
                                desk,
                                Addresses.of(given, "peer_listen"),
                                addresses(given, "peers"),
                                Addresses.of(given, "peers_all"))
                        : null;
        desk.seat(clients, servers, counter, watch, peers);
        Turn turn = managed ? turn(env.get("TMPDIR"), given.text("name")) : null;
        Operators operators =
                managed
                        ? new Operators(desk, servers, turn == null ? null : record(turn), operated)
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
                                desk.loop.enter(companion::leaves);
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
            AtomicReference<BadInput> wrong = new AtomicReference<>();
            desk.loop.enter(
                    () -> {
                        desk.begin();
                        if (managed) {
                            operators.begin();
                        }
                        if (companion != null) {
                            try {
                                companion.configures(desk::use);
                                desk.sees(companion.join(Handed.place(set), desk.loop::enter));
                            } catch (IOException e) {
                                shut.set(e);
                                tried.countDown();
                                return;
                            }
                            accompany(desk, servers, companion);
                        }
                        try {
                            if (given.has("known")) {
                                servers.list(known);
                            }
                        } catch (BadInput e) { // guards a start that would wait for good behind it
                            wrong.set(e);
                            tried.countDown();
                            return;
                        }
                        if (counter != null) {
                            counter.connect();
                        }
                        // guards against a list out of date: what is pushed counts as told from
                        // this process's first moment on
                        watch.whenFirst(
                                Handed.mustAsk(set) ? 0 : FIRST_LIST,
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
                        if (!Handed.mustAsk(set)) {
                            watch.want(true);
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
        } catch (IOException | BadInput e) {
            Runtime.getRuntime().removeShutdownHook(leave); // the exit code tells of it
            throw e;
        }
        // guards against a signal that comes late or never: discovery leaves the address that it
        // had, and the file says where to
        watch.whenLost(
                () -> {
                    FileTime now = written(env.get("ROUTER_CONFIG"));
                    if (now != null && !now.equals(seen.getAndSet(now))) {
                        reread(json, env.get("ROUTER_CONFIG"), given, desk, counter, watch);
                    }
                });
    }

    private static void accompany(Desk desk, Servers servers, Companion companion) {
        desk.loop.after(
                companion.every(),
                () -> {
                    companion.tick();
                    servers.trim();
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
            JsonFactory json, String path, Fields before, Desk desk, Counter counter, Watch watch) {
        try {
            Fields given = read(json, path);
            InetSocketAddress discovery = Addresses.of(given, "discovery");
            InetSocketAddress count = counter == null ? null : Addresses.of(given, "counter");
            desk.loop.enter(
                    () -> {
                        watch.move(discovery);
                        if (counter != null) {
                            counter.move(count);
                        }
                    });
            List<String> kept = FIXED.stream().filter(f -> !before.same(given, f)).toList();
            LOG.log(
                    Level.INFO,
                    "configuration read again: discovery "
                            + discovery
                            + ", counter "
                            + count
                            + (kept.isEmpty() ? "" : "; takes a restart: " + kept));
        } catch (BadInput e) {
            LOG.log(Level.WARNING, "configuration not taken: " + e.getMessage());
        }
    }

    /**
     * Null where no folder is handed that a successor would see: then this process is the only one
     * of its gateway.
     */
    private static Turn turn(String folder, String name) {
        try {
            return folder == null || folder.isEmpty() ? null : new Turn(Path.of(folder), name);
        } catch (IOException e) {
            LOG.log(Level.WARNING, "nothing is shared with another process of this gateway: " + e);
            return null;
        }
    }

    private static Record record(Turn turn) {
        return new Record() {
            @Override
            public void add(String line) throws IOException {
                turn.add(line);
            }

            @Override
            public List<String> news() throws IOException {
                return turn.news();
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

    private static Fields read(JsonFactory json, String path) {
        if (path == null) {
            throw new BadInput("environment", "ROUTER_CONFIG", "the path of the configuration");
        }
        try {
            return Fields.of(
                    json, "configuration", Files.readString(Path.of(path), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new BadInput(
                    "environment", "ROUTER_CONFIG", "a file that can be read, not " + path);
        }
    }

    private static long seed(Fields given) {
        try {
            return Long.parseUnsignedLong(given.text("seed"), 16);
        } catch (NumberFormatException e) {
            throw given.bad("seed", "a number in hex digits");
        }
    }

    private static List<String> loadNames(Fields set) {
        Fields load = set.optional("LoadInfo");
        boolean silent =
                !load.has("How") || load.text("How").equals("silent") || !load.has("Fields");
        return silent ? List.of() : load.texts("Fields");
    }

    private static List<InetSocketAddress> addresses(Fields given, String field) {
        List<InetSocketAddress> found = new ArrayList<>();
        for (String text : given.texts(field)) {
            InetSocketAddress a = Addresses.of(text);
            if (a == null) {
                throw given.bad(field, "numeric host:port, not " + text);
            }
            found.add(a);
        }
        return found;
    }
}
