package tinford.fleet.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;
import tinford.fleet.config.Follower.Action;

/**
 * Random histories: control servers are at different revisions, stall, disconnect, and send
 * outdated, truncated or wrong data, and the follower's owner rejects some revisions. The active
 * revision never decreases, the active configuration always has the content of exactly one
 * revision, and the follower reaches the last revision once the servers are healthy again.
 */
public class FollowerRandomHistoriesTest {
    private static final int SEEDS = 150;
    private static final double STEP_MS = 100;
    private static final int FAULTY_STEPS = 900;
    private static final int HEALTHY_STEPS = 200;

    @Test
    public void followerNeverGoesBackAndConverges() {
        int snapshots = 0;
        int rejections = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            RandomHistory history = new RandomHistory(seed);
            history.run();
            snapshots += history.snapshots;
            rejections += history.rejections;
        }
        assertTrue(
                snapshots > SEEDS && rejections > SEEDS,
                snapshots + " snapshots and " + rejections + " rejections");
    }

    /** A control server, which knows the history up to a revision and has configurable faults. */
    private static final class Server {
        private long revision;
        private boolean reachable = true;
        private boolean silent;
        private boolean sendsInvalidLines;
    }

    private static final class RandomHistory {
        private final int seed;
        private final Random random;
        private final RevisionHistory history =
                new RevisionHistory(
                        ConfigurationFixtures.FLEET, new RevisionHistory.Retention(12, 100_000));
        private final List<Configuration> revisions = new ArrayList<>(List.of(Configuration.EMPTY));
        private final List<Server> servers = new ArrayList<>();
        private final SnapshotCodec snapshotCodec = new SnapshotCodec(ConfigurationFixtures.FLEET);
        private Follower follower;
        private Configuration storedConfiguration = Configuration.EMPTY;
        private Server watchedServer;
        private boolean opening;
        private long sentRevision;
        private boolean applying;
        private double nowMs;
        private boolean faulty = true;
        private int snapshots;
        private int rejections;

        RandomHistory(int seed) {
            this.seed = seed;
            this.random = new Random(seed);
            for (int i = 0; i < 4; i++) {
                servers.add(new Server());
            }
            restart(Configuration.EMPTY);
        }

        void run() {
            for (int step = 0; step < FAULTY_STEPS; step++) {
                injectFault();
                step();
            }
            faulty = false;
            for (Server each : servers) {
                each.reachable = true;
                each.silent = false;
                each.sendsInvalidLines = false;
                each.revision = lastRevision();
            }
            propose(); // a rejected revision is not offered again, so a new one is needed
            for (Server each : servers) {
                each.revision = lastRevision();
            }
            for (int step = 0; step < HEALTHY_STEPS; step++) {
                step();
            }
            assertEquals(follower.activeConfiguration().revision(), lastRevision(), "seed " + seed);
        }

        private long lastRevision() {
            return revisions.size() - 1;
        }

        private void restart(Configuration from) {
            List<Endpoint> endpoints = new ArrayList<>();
            for (int i = 0; i < servers.size(); i++) {
                endpoints.add(new Endpoint(i < 2 ? "east" : "west", "server", i));
            }
            follower =
                    new Follower("g", "east", ConfigurationFixtures.FLEET, endpoints, from, random);
            watchedServer = null;
            applying = false;
        }

        private void injectFault() {
            if (random.nextInt(5) == 0) {
                propose();
            }
            Server server = servers.get(random.nextInt(servers.size()));
            switch (random.nextInt(60)) {
                case 0 -> server.reachable = false;
                case 1, 2 -> server.reachable = true;
                case 3 -> server.silent = true;
                case 4, 5 -> server.silent = false;
                case 6 -> server.sendsInvalidLines = true;
                case 7, 8 -> server.sendsInvalidLines = false;
                case 9 ->
                        server.revision =
                                random.nextInt((int) lastRevision() + 1); // restored, or lagging
                case 10 -> {
                    if (random.nextInt(10) == 0) {
                        restart(random.nextBoolean() ? storedConfiguration : Configuration.EMPTY);
                        storedConfiguration = follower.activeConfiguration();
                    }
                }
                default -> server.revision = lastRevision();
            }
        }

        private void propose() {
            Outcome outcome;
            do {
                outcome =
                        history.propose(
                                ConfigurationFixtures.randomProposal(random, lastRevision()));
            } while (!(outcome instanceof Outcome.Accepted));
            revisions.add(history.current());
        }

        private void step() {
            nowMs += STEP_MS;
            performAll(follower.tick(nowMs));
            if (opening) {
                opening = false;
                performAll(watchedServer.reachable ? follower.watchOpened(nowMs) : closed());
            }
            if (watchedServer != null && !watchedServer.reachable) {
                performAll(closed());
            }
            if (watchedServer != null && !watchedServer.silent) {
                serve();
            }
            if (applying && random.nextInt(3) > 0) {
                completeApply();
            }
        }

        private List<Action> closed() {
            watchedServer = null;
            return follower.watchClosed("closed", nowMs);
        }

        private void serve() {
            byte[] line = nextLine();
            if (watchedServer.sendsInvalidLines && random.nextInt(4) == 0) {
                line = invalidLine(line);
            }
            performAll(follower.lineReceived(line, nowMs));
        }

        private byte[] nextLine() {
            if (sentRevision >= watchedServer.revision) {
                return new byte[0];
            }
            List<Update> updates = history.updatesSince(sentRevision).orElse(null);
            if (updates == null) {
                sentRevision = watchedServer.revision;
                return snapshotOf(sentRevision);
            }
            Update next = updates.get(0);
            sentRevision = next.revision();
            return ConfigurationCodec.encode(new WatchMessage.UpdateMessage(next));
        }

        private byte[] snapshotOf(long revision) {
            byte[] data = snapshotCodec.encode(revisions.get((int) revision));
            return ConfigurationCodec.encode(new WatchMessage.SnapshotMessage(revision, data));
        }

        private byte[] invalidLine(byte[] line) {
            return switch (random.nextInt(4)) {
                case 0 -> snapshotOf(random.nextInt((int) lastRevision() + 1));
                case 1 -> {
                    byte[] data = new SnapshotCodec("other").encode(history.current());
                    yield ConfigurationCodec.encode(
                            new WatchMessage.SnapshotMessage(lastRevision(), data));
                }
                case 2 -> {
                    Update wrong =
                            new Update(
                                    lastRevision() + 1,
                                    lastRevision() + 2,
                                    List.of(ConfigurationFixtures.putService("x")));
                    yield ConfigurationCodec.encode(new WatchMessage.UpdateMessage(wrong));
                }
                default -> Arrays.copyOf(line, line.length / 2 + 1);
            };
        }

        private void completeApply() {
            applying = false;
            long before = follower.activeConfiguration().revision();
            boolean reject = faulty && random.nextInt(6) == 0;
            rejections += reject ? 1 : 0;
            ApplyResult result =
                    reject ? new ApplyResult.Rejected("not here") : new ApplyResult.Applied();
            List<Action> actions = follower.applyCompleted(result, nowMs);
            Configuration active = follower.activeConfiguration();
            assertTrue(
                    active.revision() >= before,
                    "seed " + seed + ": the active revision decreased");
            assertEquals(
                    active.contentHash(),
                    revisions.get((int) active.revision()).contentHash(),
                    "seed " + seed + ": the active content is not that of its revision");
            storedConfiguration = active;
            performAll(actions);
        }

        private void performAll(List<Action> actions) {
            for (Action action : actions) {
                if (action instanceof Action.Connect connect) {
                    watchedServer = servers.get(connect.endpoint().port());
                    opening = true;
                    sentRevision = connect.afterRevision();
                } else if (action instanceof Action.Disconnect) {
                    watchedServer = null;
                    opening = false;
                } else if (action instanceof Action.Apply apply) {
                    assertEquals(
                            follower.activeConfiguration()
                                    .with(apply.update().revision(), apply.update().changes())
                                    .contentHash(),
                            apply.result().contentHash(),
                            "seed " + seed);
                    startApply(apply.result());
                } else if (action instanceof Action.ApplySnapshot apply) {
                    snapshots++;
                    startApply(apply.configuration());
                } else if (action instanceof Action.Report report) {
                    assertEquals(
                            report.report().revision(), follower.activeConfiguration().revision());
                }
            }
        }

        private void startApply(Configuration offered) {
            assertTrue(
                    !applying,
                    "seed "
                            + seed
                            + ": a second configuration was offered while one was being applied");
            assertTrue(
                    offered.revision() > follower.activeConfiguration().revision(), "seed " + seed);
            applying = true;
        }
    }
}
