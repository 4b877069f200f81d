package tinford.simulator;

/** The settings that the gateways of a recording start with. */
final class ScriptedSettings {
    private ScriptedSettings() {}

    /** Returns the settings of a gateway, as JSON. */
    static String of(RecordingScenario scenario, ScriptedGateway gateway) {
        String hardLimit =
                scenario.hasHardLimits() ? "\"CapDepth\":20,\"CapRate\":60,\"HardSlack\":2," : "";
        return "{\"Az\":\"z"
                + gateway.number % 3
                + "\",\"Azs\":[\"z0\",\"z1\",\"z2\"],\"Classes\":["
                + requestClass("read", "read_like", "all", 1, 0, false)
                + ","
                + requestClass("write", "idempotency_key", "zone", 3, 0.2, false)
                + ","
                + requestClass("pay", "non_idempotent", "all", 5, 0, false)
                + ","
                + requestClass("post", "idempotency_key", "cell", 2, 0, scenario.isStreamed())
                + "],\"Clients\":{\"MarksRetry\":false},\"Discovery\":\""
                + (scenario.isWatchRequired() ? "subscribe" : "automatic")
                + "\",\"Limits\":{\"Cancel\":true,\"MaxAttempts\":3,\"MaxRetryAfterUs\":2000000,\"MayDuplicate\":"
                + scenario.isHedgingAllowed()
                + ",\"Peers\":true,\"Probes\":false,\"RetryAfter\":true},\"MyNumber\":"
                + gateway.number
                + ",\"NInstances\":"
                + scenario.gatewayCount()
                + ",\"ResultMix\":{\"Whole\":0.6,\"WorstTenant\":0.2},\"Rules\":{\"ColdFrom\":0.3,\"ColdUs\":4000000,"
                + "\"DrainGraceUs\":250000,\"FallMultiple\":2,\"FallUs\":1000000},"
                + "\"Specifics\":{\"CountLimitUs\":50000,\"Counter\":true,\"PostPaid\":"
                + scenario.isPostPaid()
                + ",\"UnitsTop\":4},\"Tariffs\":["
                + "{\"MostAtOnce\":10,\"Name\":\"small\",\"OverrunCost\":1,\"Price\":1,\"QuotaRate\":8},"
                + "{"
                + hardLimit
                + "\"MostAtOnce\":30,\"Name\":\"large\",\"OverrunCost\":0,\"ExtraWorth\":0.2,\"Price\":2,\"QuotaRate\":25},"
                + "{\"MaxOut\":6,\"Name\":\"open\",\"Price\":1.5}],\"TickUs\":"
                + ScriptedTimeline.TICK_US
                + "}";
    }

    private static String requestClass(
            String name, String effect, String group, double value, double late, boolean streamed) {
        return "{\"Effect\":\""
                + effect
                + "\",\"Group\":\""
                + group
                + "\",\"HardLimitUs\":1500000,\"LateWorth\":"
                + late
                + ",\"Name\":\""
                + name
                + "\",\"OnTimeUs\":500000,\"Stream\":"
                + streamed
                + ",\"Value\":"
                + value
                + ",\"WindowUs\":800000}";
    }
}
