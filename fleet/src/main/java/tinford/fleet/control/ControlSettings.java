package tinford.fleet.control;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.SortedMap;
import tinford.fleet.config.Endpoint;

/**
 * What one control server is started with.
 *
 * @param fleet followers and snapshots of another fleet are refused
 * @param name of this server, the same over restarts
 * @param listen where it serves HTTP; port 0 for any that is free
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
     * A voter's part in the quorum.
     *
     * @param number of this voter
     * @param members where each voter serves the log, by number
     * @param leaderTimeoutMs a leader that is silent for as long is replaced
     * @param decisionTimeoutMs a proposal that is not decided by then is answered as unavailable
     */
    public record VoterSettings(
            int number,
            SortedMap<Integer, InetSocketAddress> members,
            long leaderTimeoutMs,
            long decisionTimeoutMs) {}

    /**
     * How long a follower may take, and how often it hears from the server.
     *
     * @param heartbeatIntervalMs between two lines, at most
     * @param stallTimeoutMs a follower that takes in nothing for as long is closed
     * @param lineTimeoutMs a follower that does not finish one line in as long is closed
     */
    public record WatchTiming(long heartbeatIntervalMs, long stallTimeoutMs, long lineTimeoutMs) {
        /** What a server uses where its operator file says nothing else. */
        public static final WatchTiming DEFAULT = new WatchTiming(1000, 5000, 15_000);
    }
}
