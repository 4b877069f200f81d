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
 * What the fleet needs of the gateway's own configuration, which the gateway itself checks whole.
 */
record GatewaySettings(
        String name,
        InetSocketAddress listen,
        List<InetSocketAddress> peers,
        long seed,
        boolean mayGossip) {
    /** Its name among the followers of the control servers. */
    String followerId(GatewayIdentity place) {
        return RecordChecks.isName(name) ? name : "gateway-" + place.number();
    }

    static GatewaySettings read(String path) throws IOException {
        if (path == null) {
            throw new IOException(
                    "environment, ROUTER_CONFIG: expected the path of the configuration");
        }
        JsonNode all;
        try {
            all = new ObjectMapper().readTree(Files.readString(Path.of(path)));
        } catch (IOException e) {
            throw new IOException(
                    "configuration: expected JSON in a file that can be read, " + path);
        }
        List<InetSocketAddress> peers = new ArrayList<>();
        for (JsonNode p : all.path("peers")) {
            peers.add(address("peers", p));
        }
        boolean mayGossip = all.path("settings").path("Limits").path("Peers").asBoolean();
        long seed;
        try {
            seed = Long.parseUnsignedLong(all.path("seed").asText(), 16);
        } catch (NumberFormatException e) {
            throw new IOException("configuration, seed: expected a number in hex digits");
        }
        return new GatewaySettings(
                all.path("name").asText(""),
                mayGossip ? address("peer_listen", all.path("peer_listen")) : null,
                peers,
                seed,
                mayGossip);
    }

    private static InetSocketAddress address(String field, JsonNode v) throws IOException {
        InetSocketAddress a = Addresses.of(v.asText());
        if (a == null) {
            throw new IOException(
                    "configuration, " + field + ": expected numeric host:port, not " + v);
        }
        return a;
    }
}
