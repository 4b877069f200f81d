package tinford.fleet.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The status of all control servers and of their followers. Of a follower that reported to several
 * servers, the latest report counts.
 */
final class FleetStatus {
    /**
     * One control server.
     *
     * @param failure why it was not reached; null if it was
     * @param isLogRunning whether it takes part in the voters' log
     * @param logRestarts how often its member of the log was started anew
     */
    record Server(
            InetSocketAddress address,
            String failure,
            String name,
            String region,
            String role,
            boolean isLeader,
            boolean isLogRunning,
            int logRestarts,
            long revision,
            int followers,
            long pendingBytes) {}

    /**
     * One follower's latest report.
     *
     * @param rejectionReason null if the last revision offered to it is in force
     */
    record Follower(
            String name, String region, long revision, String rejectionReason, long ageMs) {}

    private final List<Server> servers = new ArrayList<>();
    private final SortedMap<String, Follower> followers = new TreeMap<>();

    /** Requests the status of each server, one after another. */
    static FleetStatus fetch(List<InetSocketAddress> addresses) throws InterruptedException {
        ControlClient client = new ControlClient();
        FleetStatus status = new FleetStatus();
        for (InetSocketAddress address : addresses) {
            try {
                status.addServer(address, client.get(address, "/status").body());
                status.addFollowers(client.get(address, "/followers").body());
            } catch (IOException e) {
                status.servers.add(unreachable(address, e));
            }
        }
        return status;
    }

    private static Server unreachable(InetSocketAddress address, IOException failure) {
        return new Server(address, failure.toString(), "", "", "", false, false, 0, 0, 0, 0);
    }

    private void addServer(InetSocketAddress address, JsonNode body) {
        servers.add(
                new Server(
                        address,
                        null,
                        body.path("server").asText(),
                        body.path("region").asText(),
                        body.path("role").asText(),
                        body.path("leads").asBoolean(),
                        body.path("logRunning").asBoolean(true), // absent from an earlier version
                        body.path("logRestarts").asInt(),
                        body.path("revision").asLong(),
                        body.path("followers").asInt(),
                        body.path("pendingBytes").asLong()));
    }

    private void addFollowers(JsonNode body) {
        for (JsonNode each : body.path("followers")) {
            JsonNode rejectionReason = each.path("refusal");
            Follower follower =
                    new Follower(
                            each.path("follower").asText(),
                            each.path("region").asText(),
                            each.path("revision").asLong(),
                            rejectionReason.isTextual() ? rejectionReason.asText() : null,
                            each.path("ageMs").asLong());
            followers.merge(follower.name(), follower, FleetStatus::mostRecent);
        }
    }

    private static Follower mostRecent(Follower one, Follower other) {
        return one.ageMs() <= other.ageMs() ? one : other;
    }

    List<Server> servers() {
        return servers;
    }

    List<Follower> followers() {
        return List.copyOf(followers.values());
    }

    boolean anyServerReached() {
        return servers.stream().anyMatch(server -> server.failure() == null);
    }

    boolean hasLeader() {
        return servers.stream().anyMatch(Server::isLeader);
    }

    /** The latest revision of any server. */
    long revision() {
        return servers.stream().mapToLong(Server::revision).max().orElse(0);
    }

    /** Servers that were not reached, are out of the voters' log or have an earlier revision. */
    List<Server> laggingServers() {
        return servers.stream()
                .filter(
                        server ->
                                server.failure() != null
                                        || !server.isLogRunning()
                                        || server.revision() < revision())
                .toList();
    }

    /** Followers with an earlier revision or a rejection, the furthest behind first. */
    List<Follower> laggingFollowers() {
        return followers.values().stream()
                .filter(each -> each.revision() < revision() || each.rejectionReason() != null)
                .sorted(Comparator.comparingLong(Follower::revision))
                .toList();
    }

    /** The number of followers by revision, the latest revision first. */
    SortedMap<Long, Integer> countByRevision() {
        SortedMap<Long, Integer> counts = new TreeMap<>(Comparator.reverseOrder());
        followers.values().forEach(each -> counts.merge(each.revision(), 1, Integer::sum));
        return counts;
    }

    /** The number of known followers by region. */
    Map<String, Integer> countByRegion() {
        Map<String, Integer> counts = new TreeMap<>();
        followers.values().forEach(each -> counts.merge(each.region(), 1, Integer::sum));
        return counts;
    }
}
