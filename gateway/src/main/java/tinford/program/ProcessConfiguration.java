package tinford.program;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import tinford.routing.Addresses;
import tinford.settings.InvalidSettingsException;
import tinford.settings.JsonFields;

/** The content of the file that ROUTER_CONFIG names, as it was read once. */
final class ProcessConfiguration {
    static final String PATH_VARIABLE = "ROUTER_CONFIG";
    private static final int MAX_SOCKETS = 1 << 20;
    private static final int HEX = 16;

    /** What a reload can't change in a running process. */
    private static final List<String> FIELDS_THAT_REQUIRE_RESTART =
            List.of(
                    "listen",
                    "limits",
                    "peer_listen",
                    "peers",
                    "peers_all",
                    "management",
                    "settings");

    private final JsonFields fields;

    private ProcessConfiguration(JsonFields fields) {
        this.fields = fields;
    }

    /**
     * Reads the file.
     *
     * @param path as ROUTER_CONFIG has it, or null
     * @throws InvalidSettingsException if there is no such file, or it holds no JSON object
     */
    static ProcessConfiguration read(JsonFactory json, String path) {
        if (path == null) {
            throw new InvalidSettingsException(
                    "environment", PATH_VARIABLE, "the path of the configuration");
        }
        try {
            String text = Files.readString(Path.of(path), StandardCharsets.UTF_8);
            return new ProcessConfiguration(JsonFields.of(json, "configuration", text));
        } catch (IOException e) {
            throw new InvalidSettingsException(
                    "environment", PATH_VARIABLE, "a file that can be read, not " + path);
        }
    }

    JsonFields settings() {
        return fields.object("settings");
    }

    /** The number of descriptors that the process may use. */
    int sockets() {
        long sockets = fields.object("limits").integer("sockets");
        return (int) Math.max(0, Math.min(MAX_SOCKETS, sockets));
    }

    InvalidSettingsException tooFewSockets(int min) {
        return fields.object("limits").invalid("sockets", min + " or more");
    }

    String gatewayName() {
        return fields.text("name");
    }

    boolean hasAdminApi() {
        return fields.has("management");
    }

    long seed() {
        try {
            return Long.parseUnsignedLong(fields.text("seed"), HEX);
        } catch (NumberFormatException e) {
            throw fields.invalid("seed", "a number in hex digits");
        }
    }

    boolean hasEndpointList() {
        return fields.has("known");
    }

    /** The endpoint list that was known when the file was written; empty if there is none. */
    JsonFields endpointList() {
        return fields.objectOrEmpty("known");
    }

    InetSocketAddress address(String field) {
        return Addresses.of(fields, field);
    }

    List<InetSocketAddress> addresses(String field) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String text : fields.texts(field)) {
            InetSocketAddress address = Addresses.of(text);
            if (address == null) {
                throw fields.invalid(field, "numeric host:port, not " + text);
            }
            addresses.add(address);
        }
        return addresses;
    }

    /** The names of the figures in servers' load reports; empty when servers report none. */
    static List<String> loadReportFields(JsonFields settings) {
        JsonFields load = settings.objectOrEmpty("LoadInfo");
        boolean hasReports =
                load.has("How") && !load.text("How").equals("silent") && load.has("Fields");
        return hasReports ? load.texts("Fields") : List.of();
    }

    /** The fields that differ in the other configuration and take effect with a restart only. */
    List<String> changesThatRequireRestart(ProcessConfiguration other) {
        return FIELDS_THAT_REQUIRE_RESTART.stream()
                .filter(field -> !fields.sameValue(other.fields, field))
                .toList();
    }
}
