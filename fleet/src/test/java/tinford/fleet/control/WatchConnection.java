package tinford.fleet.control;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import tinford.fleet.config.ConfigurationCodec;
import tinford.fleet.config.InvalidConfigurationException;
import tinford.fleet.config.WatchMessage;

/** A follower's watch on a plain socket; it reads only when the test calls it. */
final class WatchConnection implements AutoCloseable {
    private static final int PATIENCE_MS = 20_000;
    private static final int SMALL_BUFFER = 4096;

    private final Socket socket = new Socket();
    private final BufferedReader reader;
    private String chunk = "";

    WatchConnection(InetSocketAddress server, String query) throws IOException {
        this(server, query, 0);
    }

    /**
     * @param receiveBuffer of the operating system; 0 for what is usual
     */
    private WatchConnection(InetSocketAddress server, String query, int receiveBuffer)
            throws IOException {
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.setSoTimeout(PATIENCE_MS);
        socket.connect(server);
        reader =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        send("GET /configuration?" + query + " HTTP/1.1\r\nHost: control\r\n\r\n");
    }

    static WatchConnection open(ControlServer server, String follower, long after)
            throws IOException {
        return new WatchConnection(server.address(), query(follower, after));
    }

    /** For a follower that does not read: little is taken in by the operating system. */
    static WatchConnection openStalled(ControlServer server, String follower) throws IOException {
        return new WatchConnection(server.address(), query(follower, 0), SMALL_BUFFER);
    }

    private static String query(String follower, long after) {
        return "watch=1&after="
                + after
                + "&follower="
                + follower
                + "&region=east&fleet="
                + ControlServerFixtures.FLEET;
    }

    private void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads the head of the response and returns its status line. */
    String head() throws IOException {
        String status = reader.readLine();
        boolean chunked = false;
        for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
            chunked |= line.equalsIgnoreCase("transfer-encoding: chunked");
        }
        if (status.contains(" 200 ") && !chunked) {
            throw new IOException("expected an answer in chunks");
        }
        return status;
    }

    /** The next line, empty for a heartbeat; null at the end. */
    String line() throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int end = chunk.indexOf('\n');
            if (end >= 0) {
                line.append(chunk, 0, end);
                chunk = chunk.substring(end + 1);
                return line.toString();
            }
            line.append(chunk);
            chunk = nextChunk();
            if (chunk == null) {
                chunk = "";
                return null;
            }
        }
    }

    private String nextChunk() throws IOException {
        String size = reader.readLine();
        if (size == null) {
            return null;
        }
        char[] content = new char[Integer.parseInt(size, 16)];
        for (int read = 0; read < content.length; ) {
            int more = reader.read(content, read, content.length - read);
            if (more < 0) {
                return null;
            }
            read += more;
        }
        reader.readLine();
        return content.length == 0 ? null : new String(content);
    }

    /** The next message; heartbeats are skipped. */
    WatchMessage message() throws IOException, InvalidConfigurationException {
        String line = line();
        while (line != null && line.isEmpty()) {
            line = line();
        }
        return line == null
                ? null
                : ConfigurationCodec.decodeWatchMessage(line.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
