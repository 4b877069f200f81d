package tinford.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
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
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.Bed;
import tinford.api.Srv;
import tinford.transport.Datagrams;

/** The watch against a discovery that is played step by step, on real connections and in driven time. */
public class WatchTest {
    private static final int STEP = 50;
    private static final int ONE = 1650; // until another is asked beside a watch that never spoke
    private static final int MIDWAY = 2950; // beside one that spoke before
    private static final int TWO = 4800; // and where that one is silent too
    private static final int TOLD = 6000; // what is missed counts as told then
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String DROPS = list(43, true, "s1", "s2");
    private static final String[] GOOD = {"0", HEAD + chunk(DROPS), "2000", chunk("\n"), "4000", chunk("\n"), "6000", chunk("\n"),
        "8000", chunk("\n"), "10000", chunk("\n")};
    private static final String[] SILENT = {};
    private static final String[] FAILING = {"0", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "0", "end"};
    private final AtomicLong nanos = new AtomicLong();
    private final Semaphore looked = new Semaphore(0);
    private final DatagramSocket probe = probe();
    private final List<AutoCloseable> open = new ArrayList<>();
    private final Map<String, Srv> held = new TreeMap<>();
    private final List<Integer> opens = new ArrayList<>();
    private final List<String> asked = new ArrayList<>();
    private final List<Wire> wires = new ArrayList<>();
    private int now;
    private int takenAt; // when s0 was seen taken out, or -1
    private boolean accepts;
    private ServerSocketChannel door;
    private InetSocketAddress probed;
    private Desk desk;
    private Watch watch;

    /** One connection of the stand-in: says what its script tells, times counting from the req for the list. */
    private final class Wire {
        final SocketChannel channel;
        String[] script;
        String heard = "";
        int askedAt = -1;
        int said;

        Wire(SocketChannel channel) {
            this.channel = channel;
        }

        void play(String[][] scripts) throws IOException {
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
                script = opens.size() < scripts.length ? scripts[opens.size()] : scripts[scripts.length - 1];
                opens.add(now);
                asked.add(heard.substring(0, heard.indexOf('\r')));
            }
            for (; askedAt >= 0 && said < script.length && now - askedAt >= Integer.parseInt(script[said]); said += 2) {
                if (script[said + 1].equals("end")) {
                    channel.close();
                } else if (channel.isOpen()) {
                    channel.write(ByteBuffer.wrap(script[said + 1].getBytes(StandardCharsets.UTF_8)));
                }
            }
        }
    }

    private static String host(String id, String health) {
        return "{\"host\":\"" + id + "\",\"dial\":\"127.0.0.1:9\",\"site\":\"a\",\"block\":0,\"health\":\"" + health
                + "\",\"share\":1.0,\"born_ms\":0}";
    }

    private static String list(int seq, boolean whole, String... ids) {
        StringBuilder hosts = new StringBuilder();
        for (String id : ids) {
            hosts.append(hosts.length() == 0 ? "" : ",").append(id.startsWith("{") ? id : host(id, "ready"));
        }
        return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + hosts + "]}\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** One object over many lines, with an empty one among them. */
    private static String indented(String list) {
        return list.strip().replace("{", "{\n  ").replace(",", ",\n\n    ").replace("]", "\n]") + "\n";
    }

    /** These texts {@code apart} ms from one another. */
    private static String[] each(int apart, String... texts) {
        String[] script = new String[2 * texts.length];
        for (int i = 0; i < texts.length; i++) {
            script[2 * i] = String.valueOf(i * apart);
            script[2 * i + 1] = texts[i];
        }
        return script;
    }

    private static String[] trickle(String head, String text) {
        String[] texts = text.repeat(2 + 120 / text.length()).substring(0, 120).split("");
        for (int i = 0; i < texts.length; i++) {
            texts[i] = chunk(texts[i]);
        }
        texts[0] = head + texts[0];
        return each(100, texts);
    }

    private static String[] after(int ms, String[] script) {
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
        accepts = true;
        door = door();
    }

    private ServerSocketChannel door() throws IOException {
        ServerSocketChannel at = ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
        at.configureBlocking(false);
        open.add(at);
        return at;
    }

    private static DatagramSocket probe() {
        try {
            return new DatagramSocket(0, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static int free() throws IOException {
        try (DatagramSocket s = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    private InetSocketAddress at() throws IOException {
        return (InetSocketAddress) door.getLocalAddress();
    }

    private void start(long seed) throws Exception {
        Bed.Deaf inbox = new Bed.Deaf() {
            @Override
            public void listed(List<Srv> entries, boolean whole) {
                if (whole) {
                    held.clear();
                }
                entries.forEach(s -> held.put(((Backend) s).id, s));
                held.values().removeIf(s -> s.state == Srv.State.REMOVED);
                takenAt = takenAt < 0 && !held.containsKey("s0") ? now : takenAt;
            }
        };
        desk = new Desk((at, feed, out) -> feed.replay(inbox), 3, 20, 1 << 22, nanos::get);
        open.add(desk.loop::close);
        probed = new InetSocketAddress(InetAddress.getLoopbackAddress(), free());
        new Datagrams(desk.loop, probed, 8, (from, bytes) -> looked.release());
        Servers servers = new Servers(desk, 250, 15_000, 10, List.of());
        watch = new Watch(desk, at(), 250, servers, new JsonFactory(), 42, new Random(seed));
        desk.seat(null, servers, null, watch, null);
        desk.loop.enter(() -> {
            servers.list(tinford.handed.Fields.of(new JsonFactory(), "known", list(42, true, "s0", "s1")));
            watch.want(true);
        });
    }

    /** Lets all that is under way come to rest: what was there before a datagram has been looked at once it is taken. */
    private void settle() throws Exception {
        for (int i = 0; i < 3; i++) {
            probe.send(new DatagramPacket(new byte[1], 1, probed));
            assertTrue(looked.tryAcquire(20, TimeUnit.SECONDS));
        }
    }

    /** Until then, in driven time. */
    private void play(int until, String[]... scripts) throws Exception {
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

    /** When the silence begins; how soon after it the news is taken; the connections of 11 s; what each of them says. */
    @DataProvider
    public Object[][] cases() {
        String beat = HEAD + chunk("\n");
        String half = HEAD + Integer.toHexString(DROPS.length()) + "\r\n" + DROPS.substring(0, 40);
        String[] midway = {"0", beat, "2000", chunk("\n"), "4000", chunk("\n")};
        String many = indented(DROPS);
        String back = list(43, true, "s1", host("s9", "ready").replace("\"born_ms\":0", "\"born_ms\":5000"));
        String gone = list(43, false, "{\"host\":\"s0\",\"health\":\"gone\"}");
        return new Object[][] {
            {"told at once", 0, 50, 1, new String[][] {GOOD}},
            {"first line after 2 s", 0, 2000, 2, new String[][] {after(2000, GOOD)}},
            {"silent from the start", 0, ONE, 2, new String[][] {SILENT, GOOD}},
            {"silent from the start, the next too", 0, TWO, 3, new String[][] {SILENT, SILENT, GOOD}},
            {"silent midway", 4000, MIDWAY, 2, new String[][] {midway, GOOD}},
            {"silent midway, the next too", 4000, TWO, 3, new String[][] {midway, SILENT, GOOD}},
            {"heartbeats stop after one", 0, MIDWAY, 2, new String[][] {{"0", beat}, GOOD}},
            {"half a line", 0, ONE, 2, new String[][] {{"0", half}, GOOD}},
            {"half a line, behind a heartbeat and anew", 0, TWO, 3,
                new String[][] {{"0", beat + half.substring(HEAD.length())}, {"0", half}, GOOD}},
            {"half an object and empty lines", 0, ONE, 2, new String[][] {each(1000, HEAD + chunk("{\"seq\":43,\n"), chunk("\n"),
                chunk("\n"), chunk("\n"), chunk("\n"), chunk("\n"), chunk("\n"), chunk("\n"), chunk("\n")), GOOD}},
            {"bytes that make no line", 0, ONE, 2, new String[][] {trickle(HEAD, "{\"x\":3,"), GOOD}},
            {"blanks that make no line", 0, TWO, 3, new String[][] {trickle(HEAD, " "), trickle(HEAD, " "), GOOD}},
            {"a head", 0, ONE, 2, new String[][] {{"0", HEAD}, GOOD}},
            {"a head, twice", 0, TWO, 3, new String[][] {{"0", HEAD}, {"0", HEAD}, GOOD}},
            {"answers after 3 s, each time", 0, 3000, 2, new String[][] {after(3000, GOOD)}},
            {"silent midway, then answers after 2.5 s", 4000, MIDWAY + 2500, 3, new String[][] {midway, after(2500, GOOD)}},
            {"503, twice", 0, 950, 3, new String[][] {FAILING, FAILING, GOOD}},
            {"garbage, twice", 0, 950, 3, new String[][] {{"0", "what\r\n\r\n"}, {"0", HEAD + chunk("{]\n")}, GOOD}},
            {"a list without a number", 0, 350, 2, new String[][] {{"0", HEAD + chunk("{\"seq\":\"43\"}\n")}, GOOD}},
            {"ends at once, twice", 0, 950, 3, new String[][] {{"0", beat + "0\r\n\r\n"}, {"0", "end"}, GOOD}},
            {"indented, in one chunk", 0, 50, 1, new String[][] {with(HEAD + chunk(many))}},
            {"indented, in two pieces", 0, 550, 1,
                new String[][] {with(HEAD + chunk(many.substring(0, 31)), "500", chunk(many.substring(31)))}},
            {"indented, a chunk a line", 0, 50, 1, new String[][] {with(HEAD + chunks(many))}},
            {"late and older than the one held", 0, 50, 1,
                new String[][] {with(HEAD + chunk(DROPS), "300", chunk(list(41, true, "s0", "s1", "s2")))}},
            {"back under another id", 0, 50, 1, new String[][] {with(HEAD + chunk(back))}},
            {"gone, told of it alone", 0, 50, 1, new String[][] {with(HEAD + chunk(gone))}},
        };
    }

    /** This, and the heartbeats behind it. */
    private static String[] with(String... first) {
        List<String> script = new ArrayList<>(List.of(GOOD));
        script.set(1, first[0]);
        script.addAll(2, List.of(first).subList(1, first.length));
        return script.toArray(String[]::new);
    }

    private static String chunks(String text) {
        StringBuilder all = new StringBuilder();
        for (String line : text.split("(?<=\n)")) {
            all.append(chunk(line));
        }
        return all.toString();
    }

    /** A watch that tells nothing whole is not believed, whatever comes of it; what the next one tells is acted on in time. */
    @Test(dataProvider = "cases")
    public void whatCountsAsToldIsHeard(String name, int from, int within, int connections, String[][] scripts) throws Exception {
        for (long seed = 1; seed <= 4; seed++) {
            clear();
            prepare();
            start(seed);
            play(11_000, scripts);
            String seen = "taken at " + takenAt + ", opened at " + opens;
            assertTrue(takenAt >= 0 && takenAt - from <= within && within <= TOLD, seen);
            assertEquals(opens.size(), connections, "opened at " + opens);
            assertTrue(!held.containsKey("s0") && held.containsKey("s1"), "put back");
            assertTrue(asked.get(0).contains("&after=42 "), asked.toString());
        }
    }

    /** Down for long: asked ever more rarely, on two connections at most, and what comes at the return is taken at once. */
    @DataProvider
    public Object[][] outages() {
        return new Object[][] {{FAILING, 48, 800}, {SILENT, 10, 3350}, {new String[] {"0", HEAD}, 10, 3250}};
    }

    @Test(dataProvider = "outages")
    public void anOutageIsLookedAtRarelyAndItsEndSeen(String[] says, int most, int within) throws Exception {
        for (boolean revives : new boolean[] {false, true}) {
            clear();
            prepare();
            start(3);
            play(20_000, new String[][] {says});
            assertTrue(opens.size() >= 5 && opens.size() <= most, opens.size() + " connections");
            List<Wire> left = wires.stream().filter(w -> w.channel.isOpen()).toList();
            assertTrue(left.size() <= 2, left.size() + " at once");
            for (Wire w : left) {
                if (revives) {
                    w.said = 0;
                    w.script = after(now - w.askedAt, says.length == 0 ? GOOD : with(chunk(DROPS)));
                }
            }
            play(24_000, new String[][] {GOOD});
            int took = takenAt - 20_000;
            assertTrue(took >= 0 && took <= (revives && !left.isEmpty() ? 0 : within), "taken after " + took);
        }
    }

    /** Machine full: connections never come up, and are tried again by their time-out. */
    @Test
    public void aConnectionThatNeverComesUpIsTriedAgain() throws Exception {
        accepts = false;
        for (int i = 0; i < 2; i++) { // what the door's backlog holds
            Socket filler = new Socket();
            filler.connect(at());
            open.add(filler);
        }
        start(1);
        play(3000, new String[][] {GOOD});
        assertEquals(opens, List.of());
        accepts = true;
        play(5000, new String[][] {GOOD});
        assertTrue(takenAt <= 4050, "taken at " + takenAt); // 250 ms of a try, 750 ms until the next
    }

    @DataProvider
    public Object[][] moves() {
        return new Object[][] {{GOOD, 1}, {SILENT, 1}, {FAILING, 1}, {new String[] {"0", HEAD + chunk("\n")}, 2}};
    }

    /** Told to move while the watch is in this state, with as many silent ones where it goes: counts 4 s later. */
    @Test(dataProvider = "moves")
    public void aMoveIsHeardInTime(String[] before, int silent) throws Exception {
        start(1);
        play(5000, new String[][] {before});
        List<Wire> old = wires.stream().filter(w -> w.channel.isOpen()).toList();
        takenAt = -1;
        door = door();
        desk.loop.enter(() -> {
            held.put("s0", new Backend("s0"));
            try {
                watch.move(at());
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        opens.clear();
        asked.clear();
        String[] good = with(HEAD + chunk(list(44, true, "s1")));
        play(9000, silent == 1 ? new String[][] {SILENT, good} : new String[][] {SILENT, SILENT, good});
        assertTrue(takenAt >= 0 && takenAt - 5000 <= (silent == 1 ? ONE : 4000), "taken at " + takenAt + ", opened at " + opens);
        assertTrue(asked.get(0).contains(before == GOOD ? "&after=43 " : "&after=42 "), asked.toString());
        for (Wire w : old) {
            assertTrue(!w.channel.isOpen(), "left open");
        }
    }
}
