package tinford.lab.scale.gateway;

import com.fasterxml.jackson.core.JsonFactory;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import tinford.settings.JsonFields;

/** Lists of servers in discovery's form, with names and fields as long as those in use. */
public final class ServerLists {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int SERVERS_A_BLOCK = 20;

    /** Zones of the deployment; blocks of servers go round them. */
    public static final int ZONES = 5;

    private static final int FIRST_ID = 0x5be2a07c;

    private ServerLists() {}

    /** All servers, ready, started long ago. */
    public static String whole(int servers) {
        return restarted(servers, 0, 0);
    }

    /** All servers, ready, the first of them started at {@code bornMs}. */
    public static String restarted(int servers, int restarted, double bornMs) {
        String hosts =
                IntStream.range(0, servers)
                        .mapToObj(number -> host(number, "ready", number < restarted ? bornMs : 0))
                        .collect(Collectors.joining(","));
        return whole(hosts);
    }

    private static String whole(String hosts) {
        return "{\"seq\":43,\"whole\":true,\"hosts\":[" + hosts + "]}";
    }

    /** One server that is ready or draining. */
    public static String changed(int number, boolean ready) {
        return "{\"seq\":44,\"whole\":false,\"hosts\":["
                + host(number, ready ? "ready" : "draining", 0)
                + "]}";
    }

    /** As the watch reads it. */
    public static JsonFields read(String list) {
        return JsonFields.of(JSON, "discovery", list);
    }

    private static String host(int number, String health, double bornMs) {
        return "{\"host\":\"s-"
                + Integer.toHexString(FIRST_ID + number)
                + "\",\"dial\":\"10.100."
                + number / 250
                + "."
                + (1 + number % 250)
                + ":16379\",\"site\":\"zone-"
                + (char) ('a' + number / SERVERS_A_BLOCK % ZONES)
                + "\",\"class\":\"m2\",\"block\":"
                + number / SERVERS_A_BLOCK
                + ",\"health\":\""
                + health
                + "\",\"share\":1.0,\"born_ms\":"
                + bornMs
                + "}";
    }
}
