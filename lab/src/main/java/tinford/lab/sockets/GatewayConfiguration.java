package tinford.lab.sockets;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tinford.lab.scenario.Scenario;

/** The configuration of a gateway, as a scenario wants it. */
final class GatewayConfiguration {
    private static final int MAX_OPEN = 20_000;
    private static final int MEMORY_MB = 192;
    private static final int SOCKETS = 1024;
    private static final double MICROS = 1000;

    private final Scenario scenario;
    private final BenchInterceptor between;

    GatewayConfiguration(BenchContext context) {
        this.scenario = context.scenario;
        this.between = context.between;
    }

    /** As JSON. */
    String of(int number, int port, int discoveryPort, int counterPort) throws IOException {
        Map<String, Object> limits = limits();
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("name", "g" + number);
        all.put("listen", BenchContext.address(port));
        all.put("discovery", BenchContext.address(discoveryPort));
        all.put("seed", Integer.toHexString(number + 1));
        all.put("limits", Map.of("cores", 1.0, "memory_mb", MEMORY_MB, "sockets", SOCKETS));
        all.put("counter", BenchContext.address(counterPort));
        all.put("known", Map.of("seq", 0, "whole", true, "hosts", List.of()));
        all.put("settings", settings(number, limits));
        between.configure(number, all, limits);
        return new ObjectMapper().writeValueAsString(all);
    }

    private Map<String, Object> settings(int number, Map<String, Object> limits) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("Az", scenario.servers().zones().get(0));
        settings.put("Azs", scenario.servers().zones());
        settings.put("Classes", scenario.frontends().stream().map(this::frontend).toList());
        settings.put("Discovery", "automatic");
        settings.put("Limits", limits);
        settings.put("LoadInfo", Map.of("Fields", List.of(), "How", "silent"));
        settings.put("MyNumber", number);
        settings.put("NInstances", scenario.gateways());
        settings.put("ResultMix", Map.of("Whole", 0.7, "WorstTenant", 0.3));
        settings.put("Rules", rules());
        settings.put("Specifics", specifics());
        settings.put("Tariffs", scenario.plans().stream().map(this::plan).toList());
        settings.put("TickUs", scenario.tick() * MICROS);
        return settings;
    }

    private Map<String, Object> frontend(Scenario.Frontend frontend) {
        String effect =
                switch (frontend.effect()) {
                    case IDEMPOTENT -> "read_like";
                    case IDEMPOTENCY_KEY -> "idempotency_key";
                    case NON_IDEMPOTENT -> "non_idempotent";
                };
        return Map.of(
                "Name",
                frontend.name(),
                "Effect",
                effect,
                "Group",
                "cell",
                "HardLimitUs",
                frontend.timeout() * MICROS,
                "OnTimeUs",
                frontend.target() * MICROS,
                "Value",
                frontend.value(),
                "LateWorth",
                0,
                "Stream",
                false,
                "WindowUs",
                frontend.repeat_window() * MICROS);
    }

    private Map<String, Object> plan(Scenario.Plan plan) {
        return Map.of(
                "Name", plan.name(),
                "QuotaRate", plan.rate(),
                "MostAtOnce", plan.burst(),
                "MaxOut", plan.max_out(),
                "Price", plan.price(),
                "ExtraWorth", plan.beyond_value(),
                "OverrunCost", plan.beyond_cost(),
                "CapRate", plan.ceiling(),
                "CapDepth", plan.ceiling_burst(),
                "HardSlack", plan.slack());
    }

    private Map<String, Object> limits() {
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("Cancel", true);
        limits.put("ConnectTimeoutUs", scenario.net().connect_timeout() * MICROS);
        limits.put("KeepaliveUs", between.idle() * MICROS);
        limits.put("MaxAttempts", scenario.rules().max_dispatches());
        limits.put("MaxRetryAfterUs", scenario.rules().max_retry_after() * MICROS);
        limits.put("MayDuplicate", false);
        limits.put("OpenCap", MAX_OPEN);
        limits.put("Peers", false);
        limits.put("Probes", false);
        limits.put("RetryAfter", true);
        return limits;
    }

    private Map<String, Object> rules() {
        return Map.of(
                "ColdFrom",
                scenario.servers().cold_from(),
                "ColdUs",
                scenario.servers().cold_time() * MICROS,
                "FallMultiple",
                scenario.rules().fall_multiple(),
                "FallUs",
                scenario.rules().fall_time() * MICROS);
    }

    private Map<String, Object> specifics() {
        return Map.of(
                "Counter",
                scenario.counter().present(),
                "CountLimitUs",
                scenario.counter().timeout() * MICROS,
                "PostPaid",
                false,
                "UnitsTop",
                scenario.clients().largest());
    }
}
