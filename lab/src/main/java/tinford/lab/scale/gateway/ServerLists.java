package tinford.lab.scale.gateway;

import com.fasterxml.jackson.core.JsonFactory;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import tinford.handed.Fields;

/** Lists of servers in discovery's form, with names and fields as long as those in use. */
public final class ServerLists {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int SERVERS_A_BLOCK = 20;
    private static final int ZONES = 5;
    private static final int FIRST_ID = 0x5be2a07c;

    private ServerLists() {}

    /** All servers, ready; one that started at {@code bornMs} or, with 0, long ago. */
    public static String whole(int servers, double bornMs) {
        String hosts =
                IntStream.range(0, servers)
                        .mapToObj(number -> host(number, "ready", bornMs))
                        .collect(Collectors.joining(","));
        return "{\"seq\":43,\"whole\":true,\"hosts\":[" + hosts + "]}";
    }

    /** One server that is ready or draining. */
    public static String changed(int number, boolean ready) {
        return "{\"seq\":44,\"whole\":false,\"hosts\":["
                + host(number, ready ? "ready" : "draining", 0)
                + "]}";
    }

    /** As the watch reads it. */
    public static Fields read(String list) {
        return Fields.of(JSON, "discovery", list);
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
