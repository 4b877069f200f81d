package tinford.lab.sockets;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The configuration file of one real gateway, as large as a deployment makes it.
 *
 * @param listen the gateway's port
 * @param discovery the port of the discovery agent
 * @param counter the port of the counter
 * @param routes how many classes of requests the settings name
 * @param firstTargetMs the target of the first route, so that a change can be told
 */
record GatewayFile(int listen, int discovery, int counter, int routes, int firstTargetMs) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int TARGET_MS = 1500;
    private static final int TIMEOUT_MS = 6000;
    private static final int MICROS = 1000;

    /** Writes it whole and gives its size in bytes. */
    long write(Path to) throws IOException {
        byte[] text = JSON.writeValueAsBytes(content());
        Files.write(to, text);
        return text.length;
    }

    private Map<String, Object> content() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("name", "alone");
        all.put("listen", loopback(listen));
        all.put("discovery", loopback(discovery));
        all.put("counter", loopback(counter));
        all.put("seed", "1");
        all.put("limits", Map.of("cores", 1.0, "memory_mb", 192, "sockets", 1024));
        all.put("known", Map.of("seq", 0, "whole", true, "hosts", List.of()));
        all.put("settings", settings());
        return all;
    }

    private Map<String, Object> settings() {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("Az", "a");
        settings.put("Azs", List.of("a"));
        settings.put("Classes", classes());
        settings.put("Discovery", "automatic");
        settings.put("Limits", limits());
        settings.put("LoadInfo", Map.of("Fields", List.of(), "How", "silent"));
        settings.put("MyNumber", 0);
        settings.put("NInstances", 1);
        settings.put("ResultMix", Map.of("Whole", 0.7, "WorstTenant", 0.3));
        settings.put("Rules", rules());
        settings.put("Specifics", counterTerms());
        settings.put("Tariffs", List.of(Map.of("Name", "small", "QuotaRate", 4, "MostAtOnce", 8)));
        settings.put("TickUs", 0);
        return settings;
    }

    private List<Object> classes() {
        List<Object> classes = new ArrayList<>();
        for (int i = 0; i < routes; i++) {
            int target = i == 0 ? firstTargetMs : TARGET_MS;
            Map<String, Object> route = new LinkedHashMap<>();
            route.put("Name", String.format("service-%03d/route-%04d", i / 5, i));
            route.put("Effect", "idempotency_key");
            route.put("Group", "cell");
            route.put("OnTimeUs", target * MICROS);
            route.put("HardLimitUs", TIMEOUT_MS * MICROS);
            route.put("Value", 1 + i % 5);
            route.put("LateWorth", 0);
            route.put("Stream", false);
            route.put("WindowUs", 10_000 * MICROS);
            classes.add(route);
        }
        return classes;
    }

    private static Map<String, Object> limits() {
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("Cancel", true);
        limits.put("ConnectTimeoutUs", 250 * MICROS);
        limits.put("KeepaliveUs", 15_000 * MICROS);
        limits.put("MaxAttempts", 3);
        limits.put("MaxRetryAfterUs", 2000 * MICROS);
        limits.put("MayDuplicate", false);
        limits.put("OpenCap", 20_000);
        limits.put("Peers", false);
        limits.put("Probes", false);
        limits.put("RetryAfter", true);
        return limits;
    }

    private static Map<String, Object> rules() {
        return Map.of(
                "ColdFrom", 0.3, "ColdUs", 10_000 * MICROS, "FallMultiple", 2, "FallUs", 1_000_000);
    }

    private static Map<String, Object> counterTerms() {
        return Map.of(
                "Counter", true, "CountLimitUs", 80 * MICROS, "PostPaid", false, "UnitsTop", 4);
    }

    private static String loopback(int port) {
        return "127.0.0.1:" + port;
    }
}
