package tinford.testing;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A port for a program to listen at later. It lies below the range from which the system gives
 * ports to connections: one of that range could be taken between the look and the bind.
 */
public final class FreePort {
    private static final int FIRST_PORT = 12_000;
    private static final int PORT_LIMIT = 32_000;
    private static final int MAX_TRIES = 100;

    private FreePort() {}

    /** A port that was free for streams and datagrams on loopback when it was looked at. */
    public static int find() throws IOException {
        IOException last = null;
        for (int i = 0; i < MAX_TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, PORT_LIMIT);
            InetAddress loopback = InetAddress.getLoopbackAddress();
            try (ServerSocket stream = new ServerSocket(port, 1, loopback);
                    DatagramSocket datagrams = new DatagramSocket(port, loopback)) {
                return port;
            } catch (IOException e) {
                last = e;
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " to " + PORT_LIMIT, last);
    }
}
