package tinford.fleet.config;

/** The HTTP address of a control server and the region in which it runs. */
public record Endpoint(String region, String host, int port) {
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
