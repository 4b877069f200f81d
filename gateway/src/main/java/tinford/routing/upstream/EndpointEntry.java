package tinford.routing.upstream;

import java.net.InetSocketAddress;
import tinford.api.Server;
import tinford.routing.Addresses;
import tinford.settings.JsonFields;

/**
 * One server on an endpoint list; of one removed only id and state are read. Field names on the
 * wire: {@code host} for the id, {@code dial} for the address, {@code site} for the zone, {@code
 * block} for the cell, {@code class} for the group, {@code share} for the weight.
 *
 * @param startedAtMs its last start, or 0 for one long past
 * @param group empty where none is listed
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
     * @throws tinford.settings.InvalidSettingsException if a field is missing or of another kind
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
