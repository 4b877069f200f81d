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
 * A control server on loopback whose responses a test chooses. The test takes each watch and writes
 * its lines, heartbeats included; reports are queued.
 */
public final class ScriptedControlServer implements AutoCloseable {
    private static final int TIMEOUT_S = 30;
    private static final int OK = 200;

    /** One watch that a client has requested. */
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
            byte[] terminated = Arrays.copyOf(line, line.length + 1);
            terminated[line.length] = '\n';
            chunk(terminated);
        }

        /** Writes bytes in one chunk. */
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

        /** Returns when the client has closed the connection. */
        public void awaitEnd() throws IOException {
            socket.setSoTimeout(TIMEOUT_S * 1000);
            try {
                while (socket.getInputStream().read() >= 0) {
                    // ignored
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

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final BlockingQueue<Watch> watches = new LinkedBlockingQueue<>();
    private final BlockingQueue<FollowerReport> reports = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final String region;
    private volatile int status = OK;
    private volatile boolean endlessResponses;

    public ScriptedControlServer(String region) throws IOException {
        this.region = region;
        start(this::accept);
    }

    public Endpoint endpoint() {
        return new Endpoint(region, "127.0.0.1", listener.getLocalPort());
    }

    /** Responds to further watches with this status. */
    public void status(int code) {
        status = code;
    }

    /** Responses to further reports never end. */
    public void sendEndlessResponses() {
        endlessResponses = true;
    }

    /** The next watch that is requested. */
    public Watch watch() throws InterruptedException {
        Watch watch = watches.poll(TIMEOUT_S, TimeUnit.SECONDS);
        if (watch == null) {
            throw new AssertionError("no watch was requested");
        }
        return watch;
    }

    /** The next report of this revision. */
    public FollowerReport report(long revision) throws InterruptedException {
        while (true) {
            FollowerReport report = reports.poll(TIMEOUT_S, TimeUnit.SECONDS);
            if (report == null) {
                throw new AssertionError("no report of revision " + revision);
            }
            if (report.revision() == revision) {
                return report;
            }
        }
    }

    /** The next report with a rejection reason. */
    public FollowerReport rejectionReport() throws InterruptedException {
        while (true) {
            FollowerReport report = reports.poll(TIMEOUT_S, TimeUnit.SECONDS);
            if (report == null) {
                throw new AssertionError("no report of a rejection");
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
                Socket socket = listener.accept();
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
                    respondToWatch(URI.create(words[1]), socket);
                    return;
                }
                respondToReport(body, socket);
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

    private void respondToWatch(URI uri, Socket socket) throws IOException {
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

    private void respondToReport(byte[] body, Socket socket)
            throws IOException, InvalidConfigurationException {
        reports.add(ConfigurationCodec.decodeReport(body));
        String head =
                endlessResponses
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
        listener.close();
        sockets.forEach(ScriptedControlServer::closeQuietly);
    }
}
