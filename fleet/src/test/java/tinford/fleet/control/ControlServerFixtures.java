package tinford.fleet.control;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import tinford.fleet.config.Change;
import tinford.fleet.config.ChangeSet;
import tinford.fleet.config.Endpoint;
import tinford.fleet.config.Proposal;
import tinford.fleet.config.ServiceRecord;
import tinford.fleet.control.ControlSettings.VoterSettings;
import tinford.fleet.control.ControlSettings.WatchTiming;

/** Control servers on ephemeral ports of loopback. */
final class ControlServerFixtures {
    static final String FLEET = "test-fleet";
    static final WatchTiming FAST = new WatchTiming(50, 400, 2000);
    static final long DECISION_TIMEOUT_MS = 1000;

    private ControlServerFixtures() {}

    static ControlSettings settings(String name, Role role, int followers, WatchTiming timing) {
        return new ControlSettings(
                FLEET,
                "east",
                name,
                new InetSocketAddress("127.0.0.1", 0),
                role,
                Path.of("unused"),
                followers,
                timing,
                null,
                List.of());
    }

    static ControlSettings replicaSettings(String name, Path folder, List<Endpoint> upstream) {
        return new ControlSettings(
                FLEET,
                "east",
                name,
                new InetSocketAddress("127.0.0.1", 0),
                Role.REPLICA,
                folder,
                100,
                FAST,
                null,
                upstream);
    }

    static ControlSettings raftSettings(
            int number, TreeMap<Integer, InetSocketAddress> members, Path folder) {
        return new ControlSettings(
                FLEET,
                "east",
                "voter-" + number,
                new InetSocketAddress("127.0.0.1", 0),
                Role.VOTER,
                folder.resolve("" + number),
                100,
                FAST,
                new VoterSettings(number, members, 250, 1500),
                List.of());
    }

    /** A voter on a log in memory. */
    static ControlServer voter(InMemoryLogsFixture logs, int number) throws IOException {
        return ControlServer.start(
                settings("voter-" + number, Role.VOTER, 100, FAST),
                feed ->
                        new Voter(
                                FLEET,
                                feed,
                                DECISION_TIMEOUT_MS,
                                stateMachine -> logs.open(number, stateMachine)));
    }

    /** A server whose feed the test fills. */
    static ControlServer fed(RevisionFeed[] feed, int followers, WatchTiming timing)
            throws IOException {
        return ControlServer.start(
                settings("fed", Role.REPLICA, followers, timing),
                made -> {
                    feed[0] = made;
                    return new NoRole();
                });
    }

    static Endpoint endpoint(ControlServer server) {
        return new Endpoint("east", "127.0.0.1", server.address().getPort());
    }

    static Proposal putService(String id, String service) {
        return new ChangeSet(id, null, List.of(new Change.PutService(new ServiceRecord(service))));
    }

    /** Takes no proposals. */
    private static final class NoRole implements ControlRole {
        @Override
        public CompletableFuture<ProposalResult> propose(Proposal proposal) {
            return CompletableFuture.completedFuture(
                    new ProposalResult.Unavailable(
                            ProposalResult.CommitStatus.NOT_COMMITTED, "none"));
        }

        @Override
        public boolean isLeader() {
            return false;
        }

        @Override
        public long term() {
            return 0;
        }

        @Override
        public void close() {}
    }
}
