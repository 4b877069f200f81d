package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Starts the program, and is what stands round it over loopback. */
abstract class Surroundings {
    static final int PATIENCE =
            20_000; // nothing here takes as long: it only ends a test that hangs
    final List<AutoCloseable> open = new CopyOnWriteArrayList<>();
    ServerSocket discovery;
    ServerSocket counter;
    ServerSocket[] servers;
    int port;
    Path config;
    Path log;
    Path shared; // between the processes of one gateway
    Process gateway;

    /** One side of a connection, read value by value. */
    final class Talk {
        final Socket socket;
        final InputStream in;

        Talk(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(PATIENCE);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            open.add(socket);
        }

        Talk say(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        /** A line without its end, or null at the end of the connection. */
        String line() throws IOException {
            StringBuilder s = new StringBuilder();
            try {
                for (int c = in.read(); c != '\n'; c = in.read()) {
                    if (c < 0) {
                        return null;
                    }
                    s.append((char) c);
                }
            } catch (java.net.SocketException e) {
                return null; // a reset is an end as well
            }
            return s.substring(0, s.length() - 1);
        }

        /**
         * A value: the text of a bulk string, the words of an array with blanks between, or the
         * line as it is.
         */
        String hear() throws IOException {
            String head = line();
            if (head == null || head.isEmpty() || head.equals("$-1")) {
                return head;
            }
            int n =
                    head.charAt(0) == '*' || head.charAt(0) == '$'
                            ? Integer.parseInt(head.substring(1))
                            : 0;
            if (head.charAt(0) == '$') {
                String text = new String(in.readNBytes(n), StandardCharsets.ISO_8859_1);
                in.readNBytes(2);
                return text;
            }
            if (head.charAt(0) != '*') {
                return head;
            }
            List<String> words = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                words.add(hear());
            }
            return String.join(" ", words);
        }
    }

    static String command(String... words) {
        StringBuilder s = new StringBuilder("*" + words.length + "\r\n");
        for (String w : words) {
            s.append("$").append(w.length()).append("\r\n").append(w).append("\r\n");
        }
        return s.toString();
    }

    static String id(int n) {
        return String.format("%016x", n);
    }

    static String terms(String frontend, String more) {
        return "c=" + frontend + ",t=free,d=4000,units=1,spread=1,first=0" + more;
    }

    /** Of a plan with no quota, so that the counter is not asked. */
    static String ask(int n) {
        return command("Q.ASK", id(7), id(n), terms("read", ""));
    }

    static String value(String text) {
        return "*3\r\n$" + text.length() + "\r\n" + text + "\r\n$-1\r\n$-1\r\n";
    }

    ServerSocket door() throws IOException {
        ServerSocket s = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        s.setSoTimeout(PATIENCE);
        open.add(s);
        return s;
    }

    static String at(int port) {
        return "127.0.0.1:" + port;
    }

    static String entry(int n, ServerSocket s, String health) {
        return "{\"host\":\"s"
                + n
                + "\",\"dial\":\""
                + at(s.getLocalPort())
                + "\",\"site\":\"a\",\"class\":\"k\",\"block\":"
                + n
                + ",\"health\":\""
                + health
                + "\",\"share\":1.0,\"born_ms\":0,\"new\":{\"x\":[1]}}";
    }

    static String frontend(String name, String effect) {
        return "{\"Effect\":\""
                + effect
                + "\",\"Group\":\"cell\",\"HardLimitUs\":4000000,\"LateWorth\":0.0,\"Name\":\""
                + name
                + "\",\"OnTimeUs\":"
                + (name.equals("brief") ? 300000 : 2000000)
                + ",\"Stream\":false,\"Value\":1.0,\"WindowUs\":3000000}";
    }

    static String plan(String name, int rate) {
        return "{\"CapDepth\":0,\"CapRate\":0,\"ExtraWorth\":0,\"HardSlack\":0,\"MaxOut\":0,\"MostAtOnce\":2.0,\"Name\":\""
                + name
                + "\",\"OverrunCost\":1.0,\"Price\":1.0,\"QuotaRate\":"
                + rate
                + "}";
    }

    String configuration() {
        return "{\"name\":\"n0\",\"listen\":\""
                + at(port)
                + "\",\"discovery\":\""
                + at(discovery.getLocalPort())
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"peer_listen\":\""
                + at(port)
                + "\",\"peers\":[\""
                + at(port)
                + "\"],\"peers_all\":\""
                + at(port)
                + "\",\"counter\":\""
                + at(counter.getLocalPort())
                + "\",\"known\":{\"seq\":41,\"whole\":true,\"hosts\":["
                + entry(0, servers[0], "ready")
                + "]},\"settings\":{\"Az\":\"a\",\"Azs\":[\"a\"],\"Classes\":["
                + frontend("read", "read_like")
                + ","
                + frontend("write", "non_idempotent")
                + ","
                + frontend("brief", "read_like")
                + ","
                + frontend("marked", "idempotency_key")
                + "],\"Discovery\":\"automatic\","
                + "\"Limits\":{\"Cancel\":true,\"ConnectTimeoutUs\":250000,\"KeepaliveUs\":15000000,\"MaxAttempts\":3,"
                + "\"MaxRetryAfterUs\":2000000,\"MayDuplicate\":false,\"OpenCap\":20000,\"Peers\":true,\"Probes\":false,"
                + "\"RetryAfter\":true},\"LoadInfo\":{\"Fields\":[],\"How\":\"silent\"},\"MyNumber\":0,\"NInstances\":1,"
                + "\"ResultMix\":{\"Whole\":1},\"Rules\":{\"ColdFrom\":0.3,\"ColdUs\":10000000,\"FallMultiple\":2,\"FallUs\":1000000},"
                + "\"Specifics\":{\"CountLimitUs\":200000,\"Counter\":true,\"PostPaid\":true,\"UnitsTop\":6},\"Tariffs\":["
                + plan("free", 0)
                + ","
                + plan("paid", 1)
                + "],\"TickUs\":4000}}";
    }

    /** The program with its arguments, as the machine is to start it. */
    List<String> program() {
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-cp",
                System.getProperty(
                        "surefire.test.class.path", System.getProperty("java.class.path")),
                "tinford.Main",
                "serve");
    }

    Process start(Map<String, String> env) throws IOException {
        ProcessBuilder b = new ProcessBuilder(program());
        b.environment().putAll(env);
        return b.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }

    @BeforeMethod
    public void prepare() throws IOException {
        discovery = door();
        counter = door();
        servers = new ServerSocket[] {door(), door()};
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        config = Files.createTempFile("tinford", ".json");
        log = Files.createTempFile("tinford", ".log");
    }

    @AfterMethod(alwaysRun = true)
    public void clear() throws Exception {
        if (gateway != null) {
            gateway.destroyForcibly();
        }
        for (AutoCloseable c : open) {
            c.close();
        }
        open.clear();
        Files.delete(config);
        Files.delete(log);
    }

    Talk up() throws Exception {
        return up("", "");
    }

    /**
     * Starts the program, with this in place of that; the result is a client's connection to it.
     */
    Talk up(String part, String instead) throws Exception {
        Files.writeString(
                config, part.isEmpty() ? configuration() : configuration().replace(part, instead));
        gateway = start(Map.of("ROUTER_CONFIG", config.toString()));
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE);
        while (true) {
            try {
                Talk client = client();
                assertEquals(client.say(command("PING")).hear(), "+PONG");
                return client;
            } catch (IOException e) {
                assertTrue(
                        gateway.isAlive() && System.nanoTime() < until,
                        "not up: " + Files.readString(log));
                Thread.onSpinWait();
            }
        }
    }

    Talk client() throws IOException {
        return new Talk(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    Talk accept(ServerSocket at) throws IOException {
        return new Talk(at.accept());
    }

    /**
     * Until a connection that has just brought an answer is used again, by the clock of the
     * gateway's own machine.
     */
    static void rest(Talk client) throws IOException {
        for (long until = System.nanoTime() + 30_000_000L; System.nanoTime() < until; ) {
            assertEquals(client.say(command("PING")).hear(), "+PONG");
        }
    }

    interface Part {
        void play() throws Exception;
    }

    /** Beside the test, until that is over or what it talks with is gone. */
    static Thread daemon(Part part) {
        Thread t =
                new Thread(
                        () -> {
                            try {
                                part.play();
                            } catch (Exception e) {
                                // it is
                            }
                        });
        t.setDaemon(true);
        t.start();
        return t;
    }

    /** From now on every command is passed, whichever connection it comes on. */
    void serveAll(ServerSocket at) {
        serveAll(at, "", new CountDownLatch(0));
    }

    /** That one's answer waits. */
    void serveAll(ServerSocket at, String id, CountDownLatch until) {
        Thread door =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    Talk t = accept(at);
                                    Thread talk =
                                            new Thread(
                                                    () -> {
                                                        try {
                                                            for (String s = t.hear();
                                                                    s != null;
                                                                    s = t.hear()) {
                                                                if (s.split(" ")[2].equals(id)) {
                                                                    until.await();
                                                                }
                                                                t.say(
                                                                        value(
                                                                                "for "
                                                                                        + s.split(
                                                                                                        " ")[
                                                                                                2]));
                                                            }
                                                        } catch (IOException
                                                                | InterruptedException e) {
                                                            // the test is over
                                                        }
                                                    });
                                    talk.setDaemon(true);
                                    talk.start();
                                }
                            } catch (IOException e) {
                                // the test is over
                            }
                        });
        door.setDaemon(true);
        door.start();
    }

    static void chunk(Talk watch, String text, boolean first) throws IOException {
        watch.say(
                (first ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" : "")
                        + Integer.toHexString(text.length())
                        + "\r\n"
                        + text
                        + "\r\n");
    }

    /**
     * A process with an operators' door, and its connection to the counter, which says that it is
     * up.
     */
    Process managed(int management, Path to) throws Exception {
        Files.writeString(
                config,
                configuration()
                        .replace(
                                "\"discovery\"",
                                "\"management\":\"" + at(management) + "\",\"discovery\""));
        Path before = log;
        log = to;
        Process p = start(Map.of("ROUTER_CONFIG", config.toString(), "TMPDIR", shared.toString()));
        log = before;
        open.add(p::destroyForcibly);
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE);
        while (!call(management, "GET /v1/readyz").equals("200")) {
            assertTrue(
                    p.isAlive() && System.nanoTime() < until, "not ready: " + Files.readString(to));
            Thread.onSpinWait();
        }
        return p;
    }

    /** The log is written by a thread of its own. */
    static void says(Path log, String what) throws IOException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE);
        while (!Files.readString(log).contains(what)) {
            assertTrue(System.nanoTime() < until, Files.readString(log));
            Thread.onSpinWait();
        }
    }

    static int free() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    /** The status of the answer, or what went wrong. */
    String call(int management, String what) throws IOException {
        try {
            Talk t = new Talk(new Socket(InetAddress.getLoopbackAddress(), management));
            String status =
                    t.say(what + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n").line();
            t.socket.close();
            return status == null ? "closed" : status.split(" ")[1];
        } catch (java.net.ConnectException e) {
            return "refused";
        }
    }

    void share() throws IOException {
        shared = Files.createTempDirectory("tinford");
        open.add(
                () -> {
                    try (var files = Files.list(shared)) {
                        for (Path p : files.toList()) {
                            Files.delete(p);
                        }
                    }
                    Files.delete(shared);
                });
    }
}
