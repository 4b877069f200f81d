package tinford.testing;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds a port at which a program can listen later. The port lies below the system's range of
 * ephemeral ports, because a port of that range could be assigned to an outgoing connection between
 * the check and the bind.
 */
public final class FreePort {
    private static final int FIRST_PORT = 12_000;
    private static final int PORT_LIMIT = 32_000;
    private static final int MAX_ATTEMPTS = 100;

    private FreePort() {}

    /** A port that was free for TCP and UDP on the loopback interface when it was checked. */
    public static int find() throws IOException {
        IOException last = null;
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, PORT_LIMIT);
            InetAddress loopback = InetAddress.getLoopbackAddress();
            try (ServerSocket stream = new ServerSocket(port, 1, loopback);
                    DatagramSocket datagrams = new DatagramSocket(port, loopback)) {
                return port;
            } catch (IOException e) {
                last = e;
            }
        }
        throw new IOException("no free port found from " + FIRST_PORT + " to " + PORT_LIMIT, last);
    }
}
