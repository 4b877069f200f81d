package tinford.routing.upstream;

import java.net.InetSocketAddress;
import tinford.api.Server;
import tinford.routing.Addresses;
import tinford.settings.JsonFields;

/**
 * An entry of an endpoint list. For a removed server only id and state are read.
 *
 * <p>The JSON field names are {@code host} for the id, {@code health} for the state, {@code dial}
 * for the address, {@code born_ms} for the start time, {@code site} for the zone, {@code block} for
 * the cell, {@code class} for the group, and {@code share} for the weight.
 *
 * @param startedAtMs time of the server's last start, or 0 if it started long ago
 * @param group empty if the entry has no group
 */
record EndpointEntry(
        String id,
        Server.State state,
        InetSocketAddress address,
        double startedAtMs,
        String zone,
        int cell,
        String group,
        double weight) {
    /**
     * Reads an entry.
     *
     * @throws tinford.settings.InvalidSettingsException if a field is missing or invalid
     */
    static EndpointEntry read(JsonFields fields) {
        String id = fields.text("host");
        Server.State state = readState(fields);
        if (state == Server.State.REMOVED) {
            return new EndpointEntry(id, state, null, 0, null, 0, "", 0);
        }
        return new EndpointEntry(
                id,
                state,
                Addresses.of(fields, "dial"),
                fields.number("born_ms", 0),
                fields.text("site"),
                (int) fields.integer("block", 0),
                fields.has("class") ? fields.text("class") : "",
                fields.number("share", 1));
    }

    private static Server.State readState(JsonFields fields) {
        return switch (fields.text("health")) {
            case "ready" -> Server.State.UP;
            case "draining" -> Server.State.DRAINING;
            case "gone" -> Server.State.REMOVED;
            default -> throw fields.invalid("health", "ready, draining or gone");
        };
    }
}
