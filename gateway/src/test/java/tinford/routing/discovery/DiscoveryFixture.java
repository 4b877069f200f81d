package tinford.routing.discovery;

import static org.testng.Assert.assertTrue;
import static tinford.routing.RoutingFixtures.LOOPBACK;
import static tinford.routing.RoutingFixtures.TIMEOUT_MS;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import tinford.api.Server;
import tinford.routing.RoutingFixtures;
import tinford.routing.dispatch.RequestDispatcher;
import tinford.routing.upstream.ServerPool;
import tinford.settings.JsonFields;
import tinford.testing.FreePort;
import tinford.testing.IgnoredEvents;
import tinford.transport.UdpSocket;

/**
 * A watch and a scripted discovery on real connections. Time is simulated and advances in steps.
 * The watch starts with the servers s0 and s1 at version 42.
 */
abstract class DiscoveryFixture {
    static final int STEP_MS = 50;

    /** Time within which a change must be in force once discovery is reachable. */
    static final int DEADLINE_MS = 6000;

    static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    static final String HEARTBEAT = chunk("\n");

    /** The endpoint list of version 43, which does not contain s0. */
    static final String LIST_WITHOUT_S0 = list(43, true, "s1", "s2");

    static final Script HEARTBEATS =
            Script.every(2000, List.of(HEARTBEAT, HEARTBEAT, HEARTBEAT, HEARTBEAT, HEARTBEAT))
                    .delayedBy(2000);
    static final Script ALIVE = aliveAfter(Script.at(0, HEAD + chunk(LIST_WITHOUT_S0)));
    static final Script UNAVAILABLE =
            Script.at(0, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    .thenClose(0);
    private static final int TRICKLE_LENGTH = 120;
    private static final int TRICKLE_INTERVAL_MS = 100;
    final AtomicLong nanoTime = new AtomicLong();
    final List<AutoCloseable> resources = new ArrayList<>();

    /** Servers on the list in force, by id. */
    final Map<String, Server> listed = new TreeMap<>();

    final List<Integer> callTimesMs = new ArrayList<>();
    final List<String> requestLines = new ArrayList<>();
    final List<ScriptedConnection> connections = new ArrayList<>();
    int nowMs;

    /** Time at which s0 was removed from the list in force, or -1. */
    int removedAtMs;

    int failedFetches;
    int descriptors;
    double connectTimeoutMs;
    boolean acceptsConnections;
    ServerSocketChannel listener;

    /** Address of a closed listener. */
    InetSocketAddress closedAddress;

    RequestDispatcher dispatcher;
    DiscoveryWatch watch;
    private final Semaphore probesReceived = new Semaphore(0);
    private final DatagramSocket probeSocket = openProbeSocket();
    private InetSocketAddress probeAddress;

    /** A connection that discovery has accepted. */
    final class ScriptedConnection {
        final SocketChannel channel;
        private String received = "";
        private int calledAtMs = -1;
        private List<Script.Step> steps = List.of();
        private int nextStep;

        ScriptedConnection(SocketChannel channel) {
            this.channel = channel;
        }

        boolean isCalled() {
            return calledAtMs >= 0;
        }

        boolean isOpen() {
            return channel.isOpen();
        }

        /** Continues with another script, which starts now. */
        void restart(Script script) {
            steps = script.delayedBy(nowMs - calledAtMs).steps();
            nextStep = 0;
        }

        /**
         * Reads, and performs the due steps of the script, which starts at the complete request.
         */
        void play(IntFunction<Script> scripts) throws IOException {
            read();
            if (!isCalled() && received.endsWith("\r\n\r\n")) {
                calledAtMs = nowMs;
                steps = scripts.apply(callTimesMs.size()).steps();
                callTimesMs.add(nowMs);
                requestLines.add(received.substring(0, received.indexOf('\r')));
            }
            while (isCalled()
                    && nextStep < steps.size()
                    && nowMs - calledAtMs >= steps.get(nextStep).atMs()) {
                perform(steps.get(nextStep));
                nextStep++;
            }
        }

        private void read() throws IOException {
            ByteBuffer buffer = ByteBuffer.allocate(4096);
            try {
                if (channel.isOpen() && channel.read(buffer) < 0) {
                    channel.close();
                }
            } catch (IOException e) {
                channel.close();
            }
            received +=
                    new String(buffer.array(), 0, buffer.position(), StandardCharsets.ISO_8859_1);
        }

        private void perform(Script.Step step) throws IOException {
            switch (step.action()) {
                case CLOSE -> channel.close();
                case RESET -> reset();
                default -> {
                    if (channel.isOpen()) {
                        byte[] bytes = step.text().getBytes(StandardCharsets.UTF_8);
                        channel.write(ByteBuffer.wrap(bytes));
                    }
                }
            }
        }

        void reset() throws IOException {
            if (channel.isOpen()) {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0).close();
            }
        }
    }

    static String host(String id, String health) {
        return "{\"host\":\""
                + id
                + "\",\"dial\":\"127.0.0.1:9\",\"site\":\"a\",\"block\":0,\"health\":\""
                + health
                + "\",\"share\":1.0,\"born_ms\":0}";
    }

    /** An endpoint list. Servers are given as an entry, or as the id of a server that is ready. */
    static String list(int version, boolean complete, String... servers) {
        List<String> entries = new ArrayList<>();
        for (String server : servers) {
            entries.add(server.startsWith("{") ? server : host(server, "ready"));
        }
        return "{\"seq\":"
                + version
                + ",\"whole\":"
                + complete
                + ",\"hosts\":["
                + String.join(",", entries)
                + "]}\n";
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Formats an object over several lines, with empty lines in between. */
    static String indented(String list) {
        return list.strip().replace("{", "{\n  ").replace(",", ",\n\n    ").replace("]", "\n]")
                + "\n";
    }

    /** Sends a text repeatedly, one byte at a time. */
    static Script trickle(String head, String text) {
        String all = text.repeat(2 + TRICKLE_LENGTH / text.length()).substring(0, TRICKLE_LENGTH);
        List<String> chunks = new ArrayList<>();
        for (String each : all.split("")) {
            chunks.add(chunk(each));
        }
        chunks.set(0, head + chunks.get(0));
        return Script.every(TRICKLE_INTERVAL_MS, chunks);
    }

    /** A script followed by heartbeats. */
    static Script aliveAfter(Script first) {
        return first.followedBy(HEARTBEATS);
    }

    @BeforeMethod
    public void prepare() throws IOException {
        nanoTime.set(0);
        nowMs = 0;
        removedAtMs = -1;
        failedFetches = 0;
        descriptors = 20;
        connectTimeoutMs = 250;
        acceptsConnections = true;
        listener = listen();
    }

    ServerSocketChannel listen() throws IOException {
        return listen(new InetSocketAddress(LOOPBACK, FreePort.find()));
    }

    ServerSocketChannel listen(InetSocketAddress address) throws IOException {
        ServerSocketChannel opened = ServerSocketChannel.open().bind(address, 1);
        opened.configureBlocking(false);
        resources.add(opened);
        return opened;
    }

    private static DatagramSocket openProbeSocket() {
        try {
            return new DatagramSocket(0, LOOPBACK);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Fills the listener's backlog, so that connections to it are not established. */
    void fillBacklog() throws IOException {
        for (int i = 0; i < 2; i++) {
            Socket filler = new Socket();
            filler.connect(address());
            resources.add(filler);
        }
    }

    InetSocketAddress address() throws IOException {
        return listener.isOpen() ? (InetSocketAddress) listener.getLocalAddress() : closedAddress;
    }

    void start(long seed) throws Exception {
        dispatcher =
                new RequestDispatcher(
                        RoutingFixtures.decisions(new ListRecorder()),
                        3,
                        descriptors,
                        1 << 22,
                        nanoTime::get);
        resources.add(dispatcher.loop()::close);
        probeAddress = new InetSocketAddress(LOOPBACK, FreePort.find());
        new UdpSocket(
                dispatcher.loop(), probeAddress, 8, (from, bytes) -> probesReceived.release());
        ServerPool servers = new ServerPool(dispatcher, dispatcher, 250, 15_000, 10, List.of());
        JsonFactory json = new JsonFactory();
        watch =
                new DiscoveryWatch(
                        dispatcher,
                        address(),
                        connectTimeoutMs,
                        servers::updateEndpoints,
                        json,
                        42,
                        new Random(seed));
        dispatcher.attach(null, servers, null, watch, null);
        JsonFields known = JsonFields.of(json, "known", list(42, true, "s0", "s1"));
        dispatcher
                .loop()
                .execute(
                        () -> {
                            servers.updateEndpoints(known);
                            watch.setEnabled(true);
                        });
    }

    /** Records the list in force. */
    private final class ListRecorder extends IgnoredEvents {
        @Override
        public void endpointsUpdated(List<Server> entries, boolean complete) {
            if (complete) {
                listed.clear();
            }
            entries.forEach(server -> listed.put(server.id, server));
            listed.values().removeIf(server -> server.state() == Server.State.REMOVED);
            if (removedAtMs < 0 && !listed.containsKey("s0")) {
                removedAtMs = nowMs;
            }
        }

        @Override
        public void discoveryFailed() {
            failedFetches++;
        }
    }

    /**
     * Returns once the gateway has read all data that was sent before. It uses datagrams, which are
     * read in the order of their arrival.
     */
    private void awaitInputProcessed() throws Exception {
        for (int i = 0; i < 3; i++) {
            probeSocket.send(new DatagramPacket(new byte[1], 1, probeAddress));
            assertTrue(probesReceived.tryAcquire(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        }
    }

    /** Runs until a time; calls to discovery get the scripts in turn, and then the last script. */
    void play(int untilMs, Script... scripts) throws Exception {
        play(untilMs, call -> scripts[Math.min(call, scripts.length - 1)]);
    }

    /** Runs until a time; each call gets the script for the number of calls before it. */
    void play(int untilMs, IntFunction<Script> scripts) throws Exception {
        while (nowMs < untilMs) {
            awaitInputProcessed();
            acceptAll();
            awaitInputProcessed();
            for (ScriptedConnection connection : connections) {
                connection.play(scripts);
            }
            awaitInputProcessed();
            nowMs += STEP_MS;
            nanoTime.set(nowMs * 1_000_000L);
        }
    }

    private void acceptAll() throws IOException {
        SocketChannel channel = acceptsConnections ? listener.accept() : null;
        while (channel != null) {
            channel.configureBlocking(false);
            resources.add(channel);
            connections.add(new ScriptedConnection(channel));
            channel = listener.accept();
        }
    }

    @AfterMethod(alwaysRun = true)
    public void clear() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        resources.clear();
        listed.clear();
        callTimesMs.clear();
        requestLines.clear();
        connections.clear();
    }
}
