package tinford.fleet.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.Test;
import tinford.fleet.config.Follower.Action;

/** Which updates and snapshots a follower applies, and which it rejects. */
public class FollowerUpdateTest extends FollowerFixture {
    @Test
    public void updateIsAppliedAndReported() {
        open();
        Action.Apply apply =
                only(line(update(0, 1, ConfigurationFixtures.basicChanges())), Action.Apply.class);
        assertEquals(apply.update(), new Update(0, 1, ConfigurationFixtures.basicChanges()));
        assertEquals(
                apply.result().contentHash(),
                ConfigurationFixtures.basicConfiguration().contentHash());
        assertSame(
                follower.activeConfiguration(),
                Configuration.EMPTY,
                "active before it was applied");
        assertSame(follower.receivedConfiguration(), apply.result());
        nowMs += 1000;
        Action.Report report = only(follower.applyCompleted(APPLIED, nowMs), Action.Report.class);
        assertEquals(report.report().revision(), 1);
        assertNull(report.report().rejectionReason());
        assertSame(follower.activeConfiguration(), apply.result());
    }

    @Test
    public void snapshotIsApplied() {
        open();
        Action.ApplySnapshot apply =
                only(
                        line(snapshot(ConfigurationFixtures.basicConfiguration())),
                        Action.ApplySnapshot.class);
        assertEquals(
                apply.configuration().contentHash(),
                ConfigurationFixtures.basicConfiguration().contentHash());
        follower.applyCompleted(APPLIED, nowMs);
        assertEquals(follower.activeConfiguration().revision(), 1);
    }

    @Test
    public void updatesReceivedWhileOneIsAppliedAreCombined() {
        open();
        line(update(0, 1, ConfigurationFixtures.basicChanges()));
        assertEquals(line(update(1, 2, List.of(ConfigurationFixtures.putService("a")))), List.of());
        assertEquals(line(update(2, 3, List.of(ConfigurationFixtures.putService("b")))), List.of());
        assertEquals(line(update(3, 4, List.of(new Change.RemoveService("a")))), List.of());
        Action.Apply apply = first(follower.applyCompleted(APPLIED, nowMs), Action.Apply.class);
        assertEquals(
                apply.update(), new Update(1, 4, List.of(ConfigurationFixtures.putService("b"))));
        assertEquals(apply.result().revision(), 4);
        assertEquals(follower.activeConfiguration().revision(), 1);
    }

    @Test
    public void snapshotReceivedWhileOneIsAppliedIsAppliedAsSnapshot() {
        open();
        line(update(0, 1, ConfigurationFixtures.basicChanges()));
        Configuration second =
                ConfigurationFixtures.basicConfiguration()
                        .with(2, List.of(ConfigurationFixtures.putService("a")));
        assertEquals(line(snapshot(second)), List.of());
        assertEquals(line(update(2, 3, List.of(ConfigurationFixtures.putService("b")))), List.of());
        Action.ApplySnapshot apply =
                first(follower.applyCompleted(APPLIED, nowMs), Action.ApplySnapshot.class);
        assertEquals(apply.configuration().revision(), 3);
        line(update(3, 4, List.of(ConfigurationFixtures.putService("c"))));
        Action.Apply next = first(follower.applyCompleted(APPLIED, nowMs), Action.Apply.class);
        assertEquals(
                next.update(), new Update(3, 4, List.of(ConfigurationFixtures.putService("c"))));
    }

    @Test
    public void rejectedRevisionLeavesTheLastOneActiveAndIsReported() {
        open();
        line(update(0, 1, ConfigurationFixtures.basicChanges()));
        follower.applyCompleted(APPLIED, nowMs);
        line(update(1, 2, List.of(ConfigurationFixtures.putService("a"))));
        nowMs += 1000;
        List<Action> actions =
                follower.applyCompleted(
                        new ApplyResult.Rejected("services.a: no such address"), nowMs);
        Action.Warn warn = first(actions, Action.Warn.class);
        assertEquals(warn.message(), "revision 2: services.a: no such address");
        Action.Report report = first(actions, Action.Report.class);
        assertEquals(report.report().revision(), 1);
        assertEquals(report.report().rejectionReason(), warn.message());
        assertEquals(follower.activeConfiguration().revision(), 1);
        assertEquals(line(HEARTBEAT), List.of(), "offered a rejected revision again");
        Action.Apply next =
                only(
                        line(update(2, 3, List.of(new Change.RemoveService("a")))),
                        Action.Apply.class);
        assertEquals(next.update(), new Update(1, 3, List.of()));
        nowMs += 1000;
        Action.Report recovered =
                only(follower.applyCompleted(APPLIED, nowMs), Action.Report.class);
        assertEquals(recovered.report(), new FollowerReport("gateway-1", "east", 3, null));
    }

    @Test
    public void updateAfterRejectedSnapshotIsAppliedAsSnapshot() {
        open();
        line(snapshot(ConfigurationFixtures.basicConfiguration()));
        follower.applyCompleted(new ApplyResult.Rejected("no"), nowMs);
        assertEquals(follower.activeConfiguration().revision(), 0);
        Action.ApplySnapshot next =
                only(
                        line(update(1, 2, List.of(ConfigurationFixtures.putService("a")))),
                        Action.ApplySnapshot.class);
        assertEquals(next.configuration().revision(), 2);
    }

    @Test
    public void outdatedSnapshotIsRejectedAndReported() {
        follower = follower(ConfigurationFixtures.basicConfiguration().with(9, List.of()), 1);
        open();
        assertRejected(
                line(snapshot(ConfigurationFixtures.basicConfiguration())),
                "at least the current revision, 9, not 1");
        assertEquals(follower.activeConfiguration().revision(), 9);
    }

    @Test
    public void outdatedUpdateIsRejectedAndReported() {
        follower = follower(ConfigurationFixtures.basicConfiguration().with(9, List.of()), 1);
        open();
        assertRejected(
                line(update(7, 8, List.of())),
                "the current revision, 9, not 7, in the update to revision 8");
        assertEquals(follower.receivedConfiguration().revision(), 9);
    }

    @Test
    public void updateAfterAGapIsRejected() {
        open();
        assertRejected(
                line(update(1, 2, List.of())),
                "the current revision, 0, not 1, in the update to revision 2");
        assertEquals(follower.receivedConfiguration().revision(), 0);
    }

    @Test
    public void invalidUpdateIsRejected() {
        open();
        assertRejected(
                line(update(0, 1, List.of(ConfigurationFixtures.putRoute("r", "s")))),
                "putRoute.service");
        assertEquals(follower.receivedConfiguration().revision(), 0);
    }

    @Test
    public void snapshotOfTheSameRevisionWithOtherContentIsRejected() {
        follower = follower(ConfigurationFixtures.basicConfiguration(), 1);
        open();
        assertEquals(
                line(snapshot(ConfigurationFixtures.basicConfiguration())),
                List.of(),
                "rejected a snapshot with the same content");
        assertRejected(
                line(snapshot(Configuration.EMPTY.with(1, List.of()))),
                "the content already received at revision 1");
    }

    @Test
    public void unreadableLinesAreRejected() {
        byte[] foreign =
                new SnapshotCodec("other").encode(ConfigurationFixtures.basicConfiguration());
        byte[] corrupted = SNAPSHOTS.encode(ConfigurationFixtures.basicConfiguration());
        corrupted[corrupted.length - 1]++;
        byte[] other = SNAPSHOTS.encode(ConfigurationFixtures.basicConfiguration());
        List<byte[]> lines =
                List.of(
                        "{\"version\":1,".getBytes(StandardCharsets.UTF_8),
                        "{\"version\":2,\"update\":{}}".getBytes(StandardCharsets.UTF_8),
                        "x".repeat(100).getBytes(StandardCharsets.UTF_8),
                        new byte[ConfigurationLimits.MAX_LINE_BYTES + 1],
                        snapshotLine(1, foreign),
                        snapshotLine(1, corrupted),
                        snapshotLine(2, other));
        for (byte[] each : lines) {
            start();
            open();
            assertRejected(line(each), "expected");
            assertEquals(follower.receivedConfiguration().revision(), 0);
        }
    }

    @Test
    public void serverErrorsAreLoggedOnceAMinute() {
        open();
        assertTrue(has(line(new byte[] {'x'}), Action.Warn.class));
        nowMs += 1000;
        open();
        List<Action> again = line(new byte[] {'x'});
        assertTrue(!has(again, Action.Warn.class) && has(again, Action.Report.class));
        nowMs += Follower.WARNING_INTERVAL_MS;
        open();
        assertTrue(has(line(new byte[] {'x'}), Action.Warn.class));
    }

    @Test
    public void serverErrorIsClearedAfterASteadyWatch() {
        open();
        line(new byte[] {'x'});
        nowMs += 1000;
        Action.Report report = open();
        assertTrue(report.report().rejectionReason().contains("json"));
        serveFor(Follower.STABLE_WATCH_MS + 1000);
        line(update(0, 1, ConfigurationFixtures.basicChanges()));
        assertNull(
                first(follower.applyCompleted(APPLIED, nowMs), Action.Report.class)
                        .report()
                        .rejectionReason());
    }
}
