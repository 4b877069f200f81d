package tinford.fleet.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;
import tinford.fleet.config.Follower.Action;

/**
 * Drawn histories: servers that hold different revisions, stall, break off, send what is old, torn
 * or wrong, and gateways that refuse. What is in force never goes back, is never anything but one
 * revision's whole content, and reaches the last revision once servers are well again.
 */
public class FollowerHistoriesTest {
    private static final int SEEDS = 150;
    private static final double STEP_MS = 100;
    private static final int TROUBLED_STEPS = 900;
    private static final int QUIET_STEPS = 200;

    @Test
    public void aFollowerNeverGoesBackAndGetsThere() {
        int snapshots = 0;
        int refusals = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Play play = new Play(seed);
            play.run();
            snapshots += play.snapshots;
            refusals += play.refusals;
        }
        assertTrue(snapshots > SEEDS && refusals > SEEDS, snapshots + " " + refusals);
    }

    /** One control server: a view of the history up to a revision, with a way to be ill. */
    private static final class Server {
        private long revision;
        private boolean reachable = true;
        private boolean silent;
        private boolean garbles;
    }

    private static final class Play {
        private final int seed;
        private final Random random;
        private final RevisionHistory history =
                new RevisionHistory(Samples.FLEET, new RevisionHistory.Retention(12, 100_000));
        private final List<Configuration> revisions = new ArrayList<>(List.of(Configuration.EMPTY));
        private final List<Server> servers = new ArrayList<>();
        private final SnapshotCodec snapshotCodec = new SnapshotCodec(Samples.FLEET);
        private Follower follower;
        private Configuration disk = Configuration.EMPTY;
        private Server followed;
        private boolean opening;
        private long sent;
        private boolean applying;
        private double now;
        private boolean troubled = true;
        private int snapshots;
        private int refusals;

        Play(int seed) {
            this.seed = seed;
            this.random = new Random(seed);
            for (int i = 0; i < 4; i++) {
                servers.add(new Server());
            }
            restart(Configuration.EMPTY);
        }

        void run() {
            for (int step = 0; step < TROUBLED_STEPS; step++) {
                makeTrouble();
                step();
            }
            troubled = false;
            for (Server each : servers) {
                each.reachable = true;
                each.silent = false;
                each.garbles = false;
                each.revision = last();
            }
            propose(); // a refused revision is followed by one that is not
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
            follower = new Follower("g", "east", Samples.FLEET, endpoints, from, random);
            followed = null;
            applying = false;
        }

        private void makeTrouble() {
            if (random.nextInt(5) == 0) {
                propose();
            }
            Server one = servers.get(random.nextInt(servers.size()));
            switch (random.nextInt(60)) {
                case 0 -> one.reachable = false;
                case 1, 2 -> one.reachable = true;
                case 3 -> one.silent = true;
                case 4, 5 -> one.silent = false;
                case 6 -> one.garbles = true;
                case 7, 8 -> one.garbles = false;
                case 9 -> one.revision = random.nextInt((int) last() + 1); // fell back, or lags
                case 10 -> {
                    if (random.nextInt(10) == 0) {
                        restart(random.nextBoolean() ? disk : Configuration.EMPTY);
                        disk = follower.activeConfiguration();
                    }
                }
                default -> one.revision = last();
            }
        }

        private void propose() {
            Outcome outcome;
            do {
                outcome = history.propose(Samples.drawProposal(random, last()));
            } while (!(outcome instanceof Outcome.Accepted));
            revisions.add(history.current());
        }

        private void step() {
            now += STEP_MS;
            perform(follower.tick(now));
            if (opening) {
                opening = false;
                perform(followed.reachable ? follower.opened(now) : closed());
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
            return follower.closed("closed", now);
        }

        private void serve() {
            byte[] line = nextLine();
            if (followed.garbles && random.nextInt(4) == 0) {
                line = garbled(line);
            }
            perform(follower.line(line, now));
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

        private byte[] garbled(byte[] line) {
            return switch (random.nextInt(4)) {
                case 0 -> snapshotOf(random.nextInt((int) last() + 1));
                case 1 -> {
                    byte[] data = new SnapshotCodec("other").encode(history.current());
                    yield ConfigurationCodec.encode(new WatchMessage.SnapshotMessage(last(), data));
                }
                case 2 -> {
                    Update wrong =
                            new Update(last() + 1, last() + 2, List.of(Samples.putService("x")));
                    yield ConfigurationCodec.encode(new WatchMessage.UpdateMessage(wrong));
                }
                default -> java.util.Arrays.copyOf(line, line.length / 2 + 1);
            };
        }

        private void settle() {
            applying = false;
            long before = follower.activeConfiguration().revision();
            boolean refuse = troubled && random.nextInt(6) == 0;
            refusals += refuse ? 1 : 0;
            ApplyResult result =
                    refuse ? new ApplyResult.Rejected("not here") : new ApplyResult.Applied();
            List<Action> actions = follower.applied(result, now);
            Configuration inForce = follower.activeConfiguration();
            assertTrue(inForce.revision() >= before, "seed " + seed + ": went back");
            assertEquals(
                    inForce.contentHash(),
                    revisions.get((int) inForce.revision()).contentHash(),
                    "seed " + seed + ": a mix");
            disk = inForce;
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
            assertTrue(!applying, "seed " + seed + ": two at once");
            assertTrue(
                    offered.revision() > follower.activeConfiguration().revision(), "seed " + seed);
            applying = true;
        }
    }
}
