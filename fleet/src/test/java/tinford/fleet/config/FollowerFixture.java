package tinford.fleet.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import tinford.fleet.config.Follower.Action;

/** A follower, its virtual clock, and the lines that control servers send to it. */
abstract class FollowerFixture {
    static final List<Endpoint> ENDPOINTS =
            List.of(
                    new Endpoint("west", "w1", 1),
                    new Endpoint("east", "e1", 1),
                    new Endpoint("west", "w2", 1),
                    new Endpoint("east", "e2", 1));
    static final ApplyResult APPLIED = new ApplyResult.Applied();
    static final byte[] HEARTBEAT = {};
    static final SnapshotCodec SNAPSHOTS = new SnapshotCodec(ConfigurationFixtures.FLEET);

    protected Follower follower;
    protected double nowMs;

    @BeforeMethod
    public void start() {
        follower = follower(Configuration.EMPTY, 1);
        nowMs = 0;
    }

    static Follower follower(Configuration initial, long seed) {
        return new Follower(
                "gateway-1",
                "east",
                ConfigurationFixtures.FLEET,
                ENDPOINTS,
                initial,
                new Random(seed));
    }

    Action.Report open() {
        only(follower.tick(nowMs), Action.Connect.class);
        return only(follower.watchOpened(nowMs), Action.Report.class);
    }

    /** Sends a heartbeat each second and ticks ten times a second. */
    List<Action> serveFor(double ms) {
        List<Action> actions = new ArrayList<>();
        double until = nowMs + ms;
        for (int i = 1; nowMs < until; i++) {
            nowMs += Follower.TICK_INTERVAL_MS;
            if (i % 10 == 0) {
                actions.addAll(line(HEARTBEAT));
            }
            actions.addAll(follower.tick(nowMs));
        }
        return actions;
    }

    List<Action> line(byte[] line) {
        return follower.lineReceived(line, nowMs);
    }

    void assertRejected(List<Action> actions, String expected) {
        assertEquals(actions.size(), 3, actions.toString());
        String reason = ((Action.Report) actions.get(0)).report().rejectionReason();
        assertTrue(reason.contains(expected), reason);
        assertEquals(((Action.Warn) actions.get(1)).message(), reason);
        assertTrue(actions.get(2) instanceof Action.Disconnect);
    }

    static byte[] update(long from, long revision, List<Change> changes) {
        return ConfigurationCodec.encode(
                new WatchMessage.UpdateMessage(new Update(from, revision, changes)));
    }

    static byte[] snapshot(Configuration configuration) {
        return snapshotLine(configuration.revision(), SNAPSHOTS.encode(configuration));
    }

    static byte[] snapshotLine(long revision, byte[] data) {
        return ConfigurationCodec.encode(new WatchMessage.SnapshotMessage(revision, data));
    }

    static <T extends Action> T only(List<Action> actions, Class<T> type) {
        assertEquals(actions.size(), 1, actions.toString());
        return type.cast(actions.get(0));
    }

    static <T extends Action> T first(List<Action> actions, Class<T> type) {
        for (Action each : actions) {
            if (type.isInstance(each)) {
                return type.cast(each);
            }
        }
        throw new AssertionError("no " + type.getSimpleName() + " in " + actions);
    }

    static boolean has(List<Action> actions, Class<? extends Action> type) {
        return actions.stream().anyMatch(type::isInstance);
    }
}
