package tinford.lab.sockets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A whole server list in discovery's form, drawn up for so many servers in services of twenty. */
public final class EndpointListDocument {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int SERVERS_A_SERVICE = 20;
    private static final int ZONES = 10;
    private static final int CELLS = 8;
    private static final double LAST_START = 1_700_000_000_000.0;

    private EndpointListDocument() {}

    /** One line of JSON, without its end. */
    public static String whole(int servers) {
        List<Object> hosts = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            hosts.add(host(i));
        }
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("seq", 1);
        list.put("whole", true);
        list.put("hosts", hosts);
        try {
            return JSON.writeValueAsString(list);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a list of plain values", e);
        }
    }

    private static Map<String, Object> host(int number) {
        Map<String, Object> host = new LinkedHashMap<>();
        host.put("host", String.format("s%04d", number));
        host.put(
                "dial",
                "127."
                        + number / 65_536
                        + "."
                        + number / 256 % 256
                        + "."
                        + number % 256
                        + ":20000");
        host.put("site", "zone-" + number % ZONES);
        host.put("class", "service-" + number / SERVERS_A_SERVICE);
        host.put("block", number % CELLS);
        host.put("share", 1.0);
        host.put("health", "ready");
        host.put("born_ms", LAST_START);
        return host;
    }
}
