package tinford.fleet.control;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.SortedMap;
import tinford.fleet.config.Endpoint;

/**
 * The settings of one control server.
 *
 * @param fleet followers and snapshots of any other fleet are rejected
 * @param name of this server; stays the same over restarts
 * @param listen the address at which HTTP is served; port 0 for any free one
 * @param maxFollowers watches at once, at most
 * @param timing of the watches
 * @param voters null for a replica
 * @param upstream the servers that a replica may follow; empty for a voter
 */
public record ControlSettings(
        String fleet,
        String region,
        String name,
        InetSocketAddress listen,
        Role role,
        Path folder,
        int maxFollowers,
        WatchTiming timing,
        VoterSettings voters,
        List<Endpoint> upstream) {
    public ControlSettings {
        upstream = List.copyOf(upstream);
    }

    /**
     * The settings of a voter.
     *
     * @param number of this voter
     * @param members the addresses at which the voters serve the log, by number
     * @param leaderTimeoutMs a leader that is silent for this time is replaced
     * @param decisionTimeoutMs a proposal that is not decided within this time is unavailable
     */
    public record VoterSettings(
            int number,
            SortedMap<Integer, InetSocketAddress> members,
            long leaderTimeoutMs,
            long decisionTimeoutMs) {}

    /**
     * The intervals and timeouts of watches.
     *
     * @param heartbeatIntervalMs the longest time between two lines
     * @param stallTimeoutMs a follower that accepts no bytes for this time is disconnected
     * @param lineTimeoutMs a follower that does not accept a line within this time is disconnected
     */
    public record WatchTiming(long heartbeatIntervalMs, long stallTimeoutMs, long lineTimeoutMs) {
        /** The timing unless the operator file sets another one. */
        public static final WatchTiming DEFAULT = new WatchTiming(1000, 5000, 15_000);
    }
}
