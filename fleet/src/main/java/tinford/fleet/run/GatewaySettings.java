package tinford.fleet.run;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import tinford.api.GatewayIdentity;
import tinford.fleet.config.RecordChecks;
import tinford.routing.Addresses;

/**
 * Those of the gateway's own settings that its membership in the fleet needs. The gateway itself
 * checks its configuration as a whole.
 *
 * @param listen address for gossip; null where {@code mayGossip} is false
 * @param peers addresses of the other gateways
 */
record GatewaySettings(
        String name,
        InetSocketAddress listen,
        List<InetSocketAddress> peers,
        long seed,
        boolean mayGossip) {
    /** The gateway's name among the followers of the control servers. */
    String followerId(GatewayIdentity identity) {
        return RecordChecks.isName(name) ? name : "gateway-" + identity.number();
    }

    /**
     * @throws IOException the file can't be read or a value is malformed
     */
    static GatewaySettings read(String path) throws IOException {
        if (path == null) {
            throw new IOException(
                    "environment, ROUTER_CONFIG: expected the path of the configuration");
        }
        JsonNode root;
        try {
            root = new ObjectMapper().readTree(Files.readString(Path.of(path)));
        } catch (IOException e) {
            throw new IOException(
                    "configuration: expected JSON in a file that can be read, " + path);
        }
        List<InetSocketAddress> peers = new ArrayList<>();
        for (JsonNode peer : root.path("peers")) {
            peers.add(address("peers", peer));
        }
        boolean mayGossip = root.path("settings").path("Limits").path("Peers").asBoolean();
        long seed;
        try {
            seed = Long.parseUnsignedLong(root.path("seed").asText(), 16);
        } catch (NumberFormatException e) {
            throw new IOException("configuration, seed: expected a number in hex digits");
        }
        return new GatewaySettings(
                root.path("name").asText(""),
                mayGossip ? address("peer_listen", root.path("peer_listen")) : null,
                peers,
                seed,
                mayGossip);
    }

    private static InetSocketAddress address(String field, JsonNode value) throws IOException {
        InetSocketAddress address = Addresses.of(value.asText());
        if (address == null) {
            throw new IOException(
                    "configuration, " + field + ": expected numeric host:port, not " + value);
        }
        return address;
    }
}
