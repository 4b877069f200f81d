package tinford.lab.control;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Followers that ask a control server for everything and read nothing of the answer. */
final class StalledFollowers implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private final List<Socket> sockets = new ArrayList<>();

    StalledFollowers(ControlServers.Server server, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            Socket socket = new Socket();
            sockets.add(socket);
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), server.httpPort()),
                    CONNECT_TIMEOUT_MS);
            String request =
                    "GET /configuration?watch=1&after=0&follower=stalled-"
                            + i
                            + "&region="
                            + server.region()
                            + "&fleet="
                            + ControlServers.FLEET_ID
                            + " HTTP/1.1\r\nHost: stalled\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        }
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
