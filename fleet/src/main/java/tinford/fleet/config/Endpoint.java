package tinford.fleet.config;

/** Where a control server serves HTTP. */
public record Endpoint(String region, String host, int port) {
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
