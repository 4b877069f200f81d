package tinford.fleet.follow;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import tinford.fleet.config.ConfigurationCodec;
import tinford.fleet.config.Endpoint;
import tinford.fleet.config.FollowerReport;
import tinford.fleet.config.InvalidConfigurationException;
import tinford.fleet.config.WatchMessage;

/**
 * A control server of a test, on loopback: each watch is handed to the test, which sends what it
 * likes; reports are kept. A watch brings heartbeats only where the test sends them.
 */
public final class ScriptedControlServer implements AutoCloseable {
    private static final int PATIENCE_S = 30;
    private static final int OK = 200;

    /** One watch that a client has asked for. */
    public final class Watch implements AutoCloseable {
        final Map<String, String> parameters;
        private final Socket socket;

        private Watch(Map<String, String> parameters, Socket socket) {
            this.parameters = parameters;
            this.socket = socket;
        }

        public long after() {
            return Long.parseLong(parameters.get("after"));
        }

        public void send(WatchMessage message) {
            line(ConfigurationCodec.encode(message));
        }

        public void heartbeat() {
            line(new byte[0]);
        }

        public void line(byte[] line) {
            byte[] whole = Arrays.copyOf(line, line.length + 1);
            whole[line.length] = '\n';
            chunk(whole);
        }

        /** Bytes as they are, in one chunk. */
        public synchronized void chunk(byte[] bytes) {
            try {
                OutputStream out = socket.getOutputStream();
                out.write(
                        (Integer.toHexString(bytes.length) + "\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                out.write(bytes);
                out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
                out.flush();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /** Returns once the client has ended the connection. */
        public void awaitEnd() throws IOException {
            socket.setSoTimeout(PATIENCE_S * 1000);
            try {
                while (socket.getInputStream().read() >= 0) {
                    // nothing is expected any more
                }
            } catch (SocketException reset) {
                return;
            }
        }

        @Override
        public void close() {
            closeQuietly(socket);
        }
    }

    private final ServerSocket door = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final BlockingQueue<Watch> watches = new LinkedBlockingQueue<>();
    private final BlockingQueue<FollowerReport> reports = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final String region;
    private volatile int status = OK;
    private volatile boolean endlessAnswers;

    public ScriptedControlServer(String region) throws IOException {
        this.region = region;
        start(this::accept);
    }

    public Endpoint endpoint() {
        return new Endpoint(region, "127.0.0.1", door.getLocalPort());
    }

    /** Answers watches so from now on. */
    public void status(int code) {
        status = code;
    }

    /** Answers to reports never end from now on. */
    public void answersWithoutEnd() {
        endlessAnswers = true;
    }

    /** The next watch that is asked for. */
    public Watch watch() throws InterruptedException {
        Watch watch = watches.poll(PATIENCE_S, TimeUnit.SECONDS);
        if (watch == null) {
            throw new AssertionError("no watch was asked for");
        }
        return watch;
    }

    /** The next report of this revision. */
    public FollowerReport report(long revision) throws InterruptedException {
        while (true) {
            FollowerReport report = reports.poll(PATIENCE_S, TimeUnit.SECONDS);
            if (report == null) {
                throw new AssertionError("no report of revision " + revision);
            }
            if (report.revision() == revision) {
                return report;
            }
        }
    }

    /** The next report of a refusal. */
    public FollowerReport refusal() throws InterruptedException {
        while (true) {
            FollowerReport report = reports.poll(PATIENCE_S, TimeUnit.SECONDS);
            if (report == null) {
                throw new AssertionError("no report of a refusal");
            }
            if (report.rejectionReason() != null) {
                return report;
            }
        }
    }

    private static void start(Runnable work) {
        Thread thread = new Thread(work, "scripted control server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = door.accept();
                sockets.add(socket);
                start(() -> serve(socket));
            }
        } catch (IOException closed) {
            return;
        }
    }

    private void serve(Socket socket) {
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String request = line(in);
                if (request.isEmpty()) {
                    return;
                }
                int length = 0;
                for (String header = line(in); !header.isEmpty(); header = line(in)) {
                    if (header.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                        length = Integer.parseInt(header.substring(15).strip());
                    }
                }
                byte[] body = in.readNBytes(length);
                String[] words = request.split(" ");
                if (words[0].equals("GET")) {
                    answerWatch(URI.create(words[1]), socket);
                    return;
                }
                answerReport(body, socket);
            }
        } catch (IOException | InvalidConfigurationException e) {
            closeQuietly(socket);
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    private void answerWatch(URI uri, Socket socket) throws IOException {
        String head = "HTTP/1.1 " + status + " X\r\nTransfer-Encoding: chunked\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
        Map<String, String> parameters = new HashMap<>();
        for (String pair : uri.getRawQuery().split("&")) {
            String[] parts = pair.split("=", 2);
            parameters.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
        watches.add(new Watch(parameters, socket));
    }

    private void answerReport(byte[] body, Socket socket)
            throws IOException, InvalidConfigurationException {
        reports.add(ConfigurationCodec.decodeReport(body));
        String head =
                endlessAnswers
                        ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        : "HTTP/1.1 204 No Content\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        door.close();
        sockets.forEach(ScriptedControlServer::closeQuietly);
    }
}
