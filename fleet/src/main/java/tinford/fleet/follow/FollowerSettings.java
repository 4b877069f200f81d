package tinford.fleet.follow;

import java.util.List;
import java.util.random.RandomGenerator;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.Endpoint;

/**
 * The identity of a follower and the control servers that it follows.
 *
 * @param id of the follower, the same over restarts
 * @param region where it runs; control servers there are preferred
 * @param fleetId snapshots of any other fleet are rejected
 * @param endpoints all control servers
 * @param initialConfiguration what is in force at the start: the last good snapshot, or {@link
 *     Configuration#EMPTY}
 * @param random for the jitter of reconnects
 */
public record FollowerSettings(
        String id,
        String region,
        String fleetId,
        List<Endpoint> endpoints,
        Configuration initialConfiguration,
        RandomGenerator random) {
    public FollowerSettings {
        endpoints = List.copyOf(endpoints);
    }
}
