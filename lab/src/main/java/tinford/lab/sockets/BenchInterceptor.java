package tinford.lab.sockets;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * What stands between the parties of a bench, starts its gateways and hears what its stand-ins see.
 * Here: nothing, they meet directly.
 */
public interface BenchInterceptor {
    /** What runs a gateway: small, quick to start. */
    List<String> JAVA =
            List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-XX:+UseSerialGC",
                    "-Xmx64m",
                    "-XX:TieredStopAtLevel=1");

    /**
     * @param log takes what it prints
     */
    Process start(int gateway, Path config, Path log) throws IOException;

    /** The port at which a gateway finds a server that listens at another. */
    default int server(int gateway, String server, int port) {
        return port;
    }

    default int counter(int gateway, int port) {
        return port;
    }

    /** The group of servers that discovery tells a server to belong to. */
    default String group(String server) {
        return "m";
    }

    /** May put fields into a gateway's configuration, and into its settings' limits. */
    default void configure(int gateway, Map<String, Object> config, Map<String, Object> limits)
            throws IOException {}

    /** Whose connection comes from that port; -1 where that isn't known. */
    default int from(int port) {
        return -1;
    }

    /** A server listens no more, or again. */
    default void shut(String server, boolean on) {}

    /** A line of the history: names and values in turn. */
    default void tell(String kind, Object... fields) {}

    /**
     * How long a server keeps a connection with nothing in it, ms; one with a request in it, the
     * longest client timeout more.
     */
    default double idle() {
        return 15_000;
    }
}
