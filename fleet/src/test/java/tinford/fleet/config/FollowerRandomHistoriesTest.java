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
    private static final int DISTURBED_STEPS = 900;
    private static final int QUIET_STEPS = 200;

    @Test
    public void followerNeverGoesBackAndConverges() {
        int snapshots = 0;
        int refusals = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            RandomHistory play = new RandomHistory(seed);
            play.run();
            snapshots += play.snapshots;
            refusals += play.rejections;
        }
        assertTrue(snapshots > SEEDS && refusals > SEEDS, snapshots + " snapshots and " + refusals + " rejections");
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
        private Server followed;
        private boolean opening;
        private long sent;
        private boolean applying;
        private double nowMs;
        private boolean disturbed = true;
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
            for (int step = 0; step < DISTURBED_STEPS; step++) {
                disturb();
                step();
            }
            disturbed = false;
            for (Server each : servers) {
                each.reachable = true;
                each.silent = false;
                each.sendsInvalidLines = false;
                each.revision = last();
            }
            propose(); // a rejected revision is not offered again, so a new one is needed
            for (Server each : servers) {
                each.revision = last();
            }
            for (int step = 0; step < QUIET_STEPS; step++) {
                step();
            }
            assertEquals(follower.activeConfiguration().revision(), last(), "seed " + seed);
        }

        private long last() {
            return revisions.size() - 1;
        }

        private void restart(Configuration from) {
            List<Endpoint> endpoints = new ArrayList<>();
            for (int i = 0; i < servers.size(); i++) {
                endpoints.add(new Endpoint(i < 2 ? "east" : "west", "server", i));
            }
            follower =
                    new Follower("g", "east", ConfigurationFixtures.FLEET, endpoints, from, random);
            followed = null;
            applying = false;
        }

        private void disturb() {
            if (random.nextInt(5) == 0) {
                propose();
            }
            Server one = servers.get(random.nextInt(servers.size()));
            switch (random.nextInt(60)) {
                case 0 -> one.reachable = false;
                case 1, 2 -> one.reachable = true;
                case 3 -> one.silent = true;
                case 4, 5 -> one.silent = false;
                case 6 -> one.sendsInvalidLines = true;
                case 7, 8 -> one.sendsInvalidLines = false;
                case 9 -> one.revision = random.nextInt((int) last() + 1); // restored, or lagging
                case 10 -> {
                    if (random.nextInt(10) == 0) {
                        restart(random.nextBoolean() ? storedConfiguration : Configuration.EMPTY);
                        storedConfiguration = follower.activeConfiguration();
                    }
                }
                default -> one.revision = last();
            }
        }

        private void propose() {
            Outcome outcome;
            do {
                outcome = history.propose(ConfigurationFixtures.randomProposal(random, last()));
            } while (!(outcome instanceof Outcome.Accepted));
            revisions.add(history.current());
        }

        private void step() {
            nowMs += STEP_MS;
            perform(follower.tick(nowMs));
            if (opening) {
                opening = false;
                perform(followed.reachable ? follower.opened(nowMs) : closed());
            }
            if (followed != null && !followed.reachable) {
                perform(closed());
            }
            if (followed != null && !followed.silent) {
                serve();
            }
            if (applying && random.nextInt(3) > 0) {
                settle();
            }
        }

        private List<Action> closed() {
            followed = null;
            return follower.closed("closed", nowMs);
        }

        private void serve() {
            byte[] line = nextLine();
            if (followed.sendsInvalidLines && random.nextInt(4) == 0) {
                line = invalidLine(line);
            }
            perform(follower.line(line, nowMs));
        }

        private byte[] nextLine() {
            if (sent >= followed.revision) {
                return new byte[0];
            }
            List<Update> updates = history.updatesSince(sent).orElse(null);
            if (updates == null) {
                sent = followed.revision;
                return snapshotOf(sent);
            }
            Update next = updates.get(0);
            sent = next.revision();
            return ConfigurationCodec.encode(new WatchMessage.UpdateMessage(next));
        }

        private byte[] snapshotOf(long revision) {
            byte[] data = snapshotCodec.encode(revisions.get((int) revision));
            return ConfigurationCodec.encode(new WatchMessage.SnapshotMessage(revision, data));
        }

        private byte[] invalidLine(byte[] line) {
            return switch (random.nextInt(4)) {
                case 0 -> snapshotOf(random.nextInt((int) last() + 1));
                case 1 -> {
                    byte[] data = new SnapshotCodec("other").encode(history.current());
                    yield ConfigurationCodec.encode(new WatchMessage.SnapshotMessage(last(), data));
                }
                case 2 -> {
                    Update wrong =
                            new Update(
                                    last() + 1,
                                    last() + 2,
                                    List.of(ConfigurationFixtures.putService("x")));
                    yield ConfigurationCodec.encode(new WatchMessage.UpdateMessage(wrong));
                }
                default -> Arrays.copyOf(line, line.length / 2 + 1);
            };
        }

        private void settle() {
            applying = false;
            long before = follower.activeConfiguration().revision();
            boolean reject = disturbed && random.nextInt(6) == 0;
            rejections += reject ? 1 : 0;
            ApplyResult result =
                    reject ? new ApplyResult.Rejected("not here") : new ApplyResult.Applied();
            List<Action> actions = follower.applied(result, nowMs);
            Configuration active = follower.activeConfiguration();
            assertTrue(active.revision() >= before, "seed " + seed + ": the active revision decreased");
            assertEquals(
                    active.contentHash(),
                    revisions.get((int) active.revision()).contentHash(),
                    "seed " + seed + ": the active content is not that of its revision");
            storedConfiguration = active;
            perform(actions);
        }

        private void perform(List<Action> actions) {
            for (Action action : actions) {
                if (action instanceof Action.Connect connect) {
                    followed = servers.get(connect.endpoint().port());
                    opening = true;
                    sent = connect.afterRevision();
                } else if (action instanceof Action.Disconnect) {
                    followed = null;
                    opening = false;
                } else if (action instanceof Action.Apply apply) {
                    assertEquals(
                            follower.activeConfiguration()
                                    .with(apply.update().revision(), apply.update().changes())
                                    .contentHash(),
                            apply.result().contentHash(),
                            "seed " + seed);
                    begin(apply.result());
                } else if (action instanceof Action.ApplySnapshot apply) {
                    snapshots++;
                    begin(apply.configuration());
                } else if (action instanceof Action.Report report) {
                    assertEquals(
                            report.report().revision(), follower.activeConfiguration().revision());
                }
            }
        }

        private void begin(Configuration offered) {
            assertTrue(!applying, "seed " + seed + ": a second configuration was offered while one was being applied");
            assertTrue(
                    offered.revision() > follower.activeConfiguration().revision(), "seed " + seed);
            applying = true;
        }
    }
}
