package tinford.routing.discovery;

import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
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
import tinford.decision.DecisionFixture;
import tinford.routing.dispatch.RequestDispatcher;
import tinford.routing.upstream.ServerPool;
import tinford.settings.JsonFields;
import tinford.transport.UdpSocket;

/** A watch and a discovery that is played step by step, on real connections and in driven time. */
abstract class WatchBed {
    static final int STEP = 50;
    static final int TOLD = 6000; // what is missed counts as told then
    static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    static final String DROPS = list(43, true, "s1", "s2");
    static final String[] GOOD = {
        "0",
        HEAD + chunk(DROPS),
        "2000",
        chunk("\n"),
        "4000",
        chunk("\n"),
        "6000",
        chunk("\n"),
        "8000",
        chunk("\n"),
        "10000",
        chunk("\n")
    };
    static final String[] SILENT = {};
    static final String[] FAILING = {
        "0", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "0", "end"
    };
    final AtomicLong nanos = new AtomicLong();
    final Semaphore looked = new Semaphore(0);
    final DatagramSocket probe = probe();
    final List<AutoCloseable> open = new ArrayList<>();
    final Map<String, Server> held = new TreeMap<>();
    final List<Integer> opens = new ArrayList<>();
    final List<String> asked = new ArrayList<>();
    final List<Wire> wires = new ArrayList<>();
    int now;
    int takenAt; // when s0 was seen taken out, or -1
    int refused; // calls for the list once that ended without one
    int descriptors;
    double connectWithin;
    boolean accepts;
    ServerSocketChannel door;
    InetSocketAddress where; // a door that is shut was
    InetSocketAddress probed;
    RequestDispatcher desk;
    DiscoveryWatch watch;

    /**
     * One connection of the stand-in: says what its script tells, times counting from the req for
     * the list.
     */
    final class Wire {
        final SocketChannel channel;
        String[] script;
        String heard = "";
        int askedAt = -1;
        int said;

        Wire(SocketChannel channel) {
            this.channel = channel;
        }

        void play(IntFunction<String[]> scripts) throws IOException {
            ByteBuffer in = ByteBuffer.allocate(4096);
            try {
                if (channel.isOpen() && channel.read(in) < 0) {
                    channel.close();
                }
            } catch (IOException e) {
                channel.close();
            }
            heard += new String(in.array(), 0, in.position(), StandardCharsets.ISO_8859_1);
            if (askedAt < 0 && heard.endsWith("\r\n\r\n")) {
                askedAt = now;
                script = scripts.apply(opens.size());
                opens.add(now);
                asked.add(heard.substring(0, heard.indexOf('\r')));
            }
            for (;
                    askedAt >= 0
                            && said < script.length
                            && now - askedAt >= Integer.parseInt(script[said]);
                    said += 2) {
                if (script[said + 1].equals("end")) {
                    channel.close();
                } else if (script[said + 1].equals("reset")) {
                    reset();
                } else if (channel.isOpen()) {
                    channel.write(
                            ByteBuffer.wrap(script[said + 1].getBytes(StandardCharsets.UTF_8)));
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

    static String list(int seq, boolean whole, String... ids) {
        StringBuilder hosts = new StringBuilder();
        for (String id : ids) {
            hosts.append(hosts.length() == 0 ? "" : ",")
                    .append(id.startsWith("{") ? id : host(id, "ready"));
        }
        return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + hosts + "]}\n";
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** One object over many lines, with an empty one among them. */
    static String indented(String list) {
        return list.strip().replace("{", "{\n  ").replace(",", ",\n\n    ").replace("]", "\n]")
                + "\n";
    }

    /** These texts {@code apart} ms from one another. */
    static String[] each(int apart, String... texts) {
        String[] script = new String[2 * texts.length];
        for (int i = 0; i < texts.length; i++) {
            script[2 * i] = String.valueOf(i * apart);
            script[2 * i + 1] = texts[i];
        }
        return script;
    }

    static String[] trickle(String head, String text) {
        String[] texts = text.repeat(2 + 120 / text.length()).substring(0, 120).split("");
        for (int i = 0; i < texts.length; i++) {
            texts[i] = chunk(texts[i]);
        }
        texts[0] = head + texts[0];
        return each(100, texts);
    }

    static String[] after(int ms, String[] script) {
        String[] later = script.clone();
        for (int i = 0; i < later.length; i += 2) {
            later[i] = String.valueOf(Integer.parseInt(later[i]) + ms);
        }
        return later;
    }

    @BeforeMethod
    public void prepare() throws IOException {
        nanos.set(0);
        now = 0;
        takenAt = -1;
        refused = 0;
        descriptors = 20;
        connectWithin = 250;
        accepts = true;
        door = door();
    }

    ServerSocketChannel door() throws IOException {
        return door(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    ServerSocketChannel door(InetSocketAddress at) throws IOException {
        ServerSocketChannel opened = ServerSocketChannel.open().bind(at, 1);
        opened.configureBlocking(false);
        open.add(opened);
        return opened;
    }

    static DatagramSocket probe() {
        try {
            return new DatagramSocket(0, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    static int free() throws IOException {
        try (DatagramSocket s = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    InetSocketAddress at() throws IOException {
        return door.isOpen() ? (InetSocketAddress) door.getLocalAddress() : where;
    }

    void start(long seed) throws Exception {
        DecisionFixture.Deaf inbox =
                new DecisionFixture.Deaf() {
                    @Override
                    public void endpointsUpdated(List<Server> entries, boolean whole) {
                        if (whole) {
                            held.clear();
                        }
                        entries.forEach(s -> held.put(s.id, s));
                        held.values().removeIf(s -> s.state == Server.State.REMOVED);
                        takenAt = takenAt < 0 && !held.containsKey("s0") ? now : takenAt;
                    }

                    @Override
                    public void discoveryFailed() {
                        refused++;
                    }
                };
        desk =
                new RequestDispatcher(
                        (at, feed, out) -> feed.replay(inbox), 3, descriptors, 1 << 22, nanos::get);
        open.add(desk.loop()::close);
        probed = new InetSocketAddress(InetAddress.getLoopbackAddress(), free());
        new UdpSocket(desk.loop(), probed, 8, (from, bytes) -> looked.release());
        ServerPool servers = new ServerPool(desk, desk, 250, 15_000, 10, List.of());
        watch =
                new DiscoveryWatch(
                        desk,
                        at(),
                        connectWithin,
                        servers::updateEndpoints,
                        new JsonFactory(),
                        42,
                        new Random(seed));
        desk.attach(null, servers, null, watch, null);
        desk.loop()
                .execute(
                        () -> {
                            servers.updateEndpoints(
                                    JsonFields.of(
                                            new JsonFactory(),
                                            "known",
                                            list(42, true, "s0", "s1")));
                            watch.setWanted(true);
                        });
    }

    /**
     * Lets all that is under way come to rest: what was there before a datagram has been looked at
     * once it is taken.
     */
    void settle() throws Exception {
        for (int i = 0; i < 3; i++) {
            probe.send(new DatagramPacket(new byte[1], 1, probed));
            assertTrue(looked.tryAcquire(20, TimeUnit.SECONDS));
        }
    }

    /** Until then, in driven time. */
    void play(int until, String[]... scripts) throws Exception {
        play(until, n -> scripts[Math.min(n, scripts.length - 1)]);
    }

    /** Until then; each connection says what is told by how many asked before it. */
    void play(int until, IntFunction<String[]> scripts) throws Exception {
        for (; now < until; now += STEP, nanos.set(now * 1_000_000L)) {
            settle();
            for (SocketChannel c = accepts ? door.accept() : null; c != null; c = door.accept()) {
                c.configureBlocking(false);
                open.add(c);
                wires.add(new Wire(c));
            }
            settle();
            for (Wire w : wires) {
                w.play(scripts);
            }
            settle();
        }
    }

    @AfterMethod(alwaysRun = true)
    public void clear() throws Exception {
        for (AutoCloseable c : open) {
            c.close();
        }
        open.clear();
        held.clear();
        opens.clear();
        asked.clear();
        wires.clear();
    }

    /** This, and the heartbeats behind it. */
    static String[] with(String... first) {
        List<String> script = new ArrayList<>(List.of(GOOD));
        script.set(1, first[0]);
        script.addAll(2, List.of(first).subList(1, first.length));
        return script.toArray(String[]::new);
    }
}
