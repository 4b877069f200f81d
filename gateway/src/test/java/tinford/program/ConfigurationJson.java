package tinford.program;

import java.net.ServerSocket;

/** Parts of the configuration file, as the gateway reads it. */
final class ConfigurationJson {
    private ConfigurationJson() {}

    static String loopback(int port) {
        return "127.0.0.1:" + port;
    }

    /** One server of the endpoint list, with a field that the gateway does not know. */
    static String endpointJson(int n, ServerSocket server, String health) {
        return "{\"host\":\"s"
                + n
                + "\",\"dial\":\""
                + loopback(server.getLocalPort())
                + "\",\"site\":\"a\",\"class\":\"k\",\"block\":"
                + n
                + ",\"health\":\""
                + health
                + "\",\"share\":1.0,\"born_ms\":0,\"new\":{\"x\":[1]}}";
    }

    static String requestClassJson(String name, String effect) {
        return "{\"Effect\":\""
                + effect
                + "\",\"Group\":\"cell\",\"HardLimitUs\":4000000,\"LateWorth\":0.0,\"Name\":\""
                + name
                + "\",\"OnTimeUs\":"
                + (name.equals("brief") ? 300000 : 2000000)
                + ",\"Stream\":false,\"Value\":1.0,\"WindowUs\":3000000}";
    }

    static String planJson(String name, int quotaRate) {
        return "{\"CapDepth\":0,\"CapRate\":0,\"ExtraWorth\":0,\"HardSlack\":0,\"MaxOut\":0,"
                + "\"MostAtOnce\":2.0,\"Name\":\""
                + name
                + "\",\"OverrunCost\":1.0,\"Price\":1.0,\"QuotaRate\":"
                + quotaRate
                + "}";
    }

    static String settingsJson() {
        return "{\"Az\":\"a\",\"Azs\":[\"a\"],\"Classes\":["
                + requestClassJson("read", "read_like")
                + ","
                + requestClassJson("write", "non_idempotent")
                + ","
                + requestClassJson("brief", "read_like")
                + ","
                + requestClassJson("marked", "idempotency_key")
                + "],\"Discovery\":\"automatic\","
                + "\"Limits\":{\"Cancel\":true,\"ConnectTimeoutUs\":250000,"
                + "\"KeepaliveUs\":15000000,\"MaxAttempts\":3,\"MaxRetryAfterUs\":2000000,"
                + "\"MayDuplicate\":false,\"OpenCap\":20000,\"Peers\":true,\"Probes\":false,"
                + "\"RetryAfter\":true},\"LoadInfo\":{\"Fields\":[],\"How\":\"silent\"},"
                + "\"MyNumber\":0,\"NInstances\":1,\"ResultMix\":{\"Whole\":1},"
                + "\"Rules\":{\"ColdFrom\":0.3,\"ColdUs\":10000000,\"FallMultiple\":2,"
                + "\"FallUs\":1000000},\"Specifics\":{\"CountLimitUs\":200000,\"Counter\":true,"
                + "\"PostPaid\":true,\"UnitsTop\":6},\"Tariffs\":["
                + planJson("free", 0)
                + ","
                + planJson("paid", 1)
                + "],\"TickUs\":4000}";
    }

    /** A gateway without peers, that knows one server. */
    static String gatewayJson(
            int clientPort, ServerSocket discovery, ServerSocket counter, ServerSocket server) {
        String own = loopback(clientPort);
        return "{\"name\":\"n0\",\"listen\":\""
                + own
                + "\",\"discovery\":\""
                + loopback(discovery.getLocalPort())
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                + "\"sockets\":1024},\"peer_listen\":\""
                + own
                + "\",\"peers\":[\""
                + own
                + "\"],\"peers_all\":\""
                + own
                + "\",\"counter\":\""
                + loopback(counter.getLocalPort())
                + "\",\"known\":{\"seq\":41,\"whole\":true,\"hosts\":["
                + endpointJson(0, server, "ready")
                + "]},\"settings\":"
                + settingsJson()
                + "}";
    }
}
