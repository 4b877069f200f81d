package tinford.lab.sockets;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A port for a program to listen at later: below those that the system gives to connections, which
 * else take it meanwhile.
 */
public final class FreePort {
    private static final int FIRST_PORT = 12_000;
    private static final int PORT_LIMIT = 32_000;

    private FreePort() {}

    /** Free for streams and datagrams on loopback, when it was looked at. */
    public static int find() throws IOException {
        IOException last = null;
        for (int i = 0; i < 100; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, PORT_LIMIT);
            try (ServerSocket stream = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
                    DatagramSocket datagrams =
                            new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
                return port;
            } catch (IOException e) {
                last = e;
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " to " + PORT_LIMIT, last);
    }
}
