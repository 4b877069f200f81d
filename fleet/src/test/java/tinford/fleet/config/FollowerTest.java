package tinford.fleet.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import tinford.fleet.config.Follower.Action;

/** The follower, step by step. */
public class FollowerTest {
    private static final List<Endpoint> ENDPOINTS =
            List.of(
                    new Endpoint("west", "w1", 1),
                    new Endpoint("east", "e1", 1),
                    new Endpoint("west", "w2", 1),
                    new Endpoint("east", "e2", 1));
    private static final ApplyResult APPLIED = new ApplyResult.Applied();
    private static final byte[] HEARTBEAT = {};
    private static final SnapshotCodec SNAPSHOTS = new SnapshotCodec(Samples.FLEET);

    private Follower follower;
    private double now;

    @BeforeMethod
    public void start() {
        follower = follower(Configuration.EMPTY, 1);
        now = 0;
    }

    private static Follower follower(Configuration inForce, long seed) {
        return new Follower(
                "gateway-1", "east", Samples.FLEET, ENDPOINTS, inForce, new Random(seed));
    }

    @Test
    public void connectsToItsOwnRegionAfterTheRevisionItHolds() {
        Follower holding = follower(Samples.basic(), 1);
        Action.Connect connect = only(holding.tick(0), Action.Connect.class);
        assertEquals(connect.endpoint().region(), "east");
        assertEquals(connect.afterRevision(), 1);
        assertEquals(holding.tick(1), List.of(), "one attempt at a time");
    }

    @Test
    public void followersSpreadOverTheServersOfARegion() {
        Set<Endpoint> first = new HashSet<>();
        for (int seed = 0; seed < 20; seed++) {
            Follower each = follower(Configuration.EMPTY, seed * 7919L);
            first.add(only(each.tick(0), Action.Connect.class).endpoint());
        }
        assertEquals(first, Set.of(ENDPOINTS.get(1), ENDPOINTS.get(3)));
    }

    @Test
    public void reportsOnceTheWatchIsOpen() {
        Endpoint endpoint = only(follower.tick(now), Action.Connect.class).endpoint();
        Action.Report report = only(follower.opened(now), Action.Report.class);
        assertEquals(report.endpoint(), endpoint);
        assertEquals(report.report(), new FollowerReport("gateway-1", "east", 0, null));
    }

    @Test
    public void anUpdateIsAppliedAndReported() {
        open();
        Action.Apply apply = only(line(update(0, 1, Samples.basics())), Action.Apply.class);
        assertEquals(apply.update(), new Update(0, 1, Samples.basics()));
        assertEquals(apply.result().contentHash(), Samples.basic().contentHash());
        assertSame(follower.activeConfiguration(), Configuration.EMPTY, "until it is applied");
        assertSame(follower.receivedConfiguration(), apply.result());
        now += 1000;
        Action.Report report = only(follower.applied(APPLIED, now), Action.Report.class);
        assertEquals(report.report().revision(), 1);
        assertNull(report.report().rejectionReason());
        assertSame(follower.activeConfiguration(), apply.result());
    }

    @Test
    public void aSnapshotIsApplied() {
        open();
        Action.ApplySnapshot apply =
                only(line(snapshot(Samples.basic())), Action.ApplySnapshot.class);
        assertEquals(apply.configuration().contentHash(), Samples.basic().contentHash());
        follower.applied(APPLIED, now);
        assertEquals(follower.activeConfiguration().revision(), 1);
    }

    @Test
    public void whatArrivesWhileOneIsAppliedIsCombined() {
        open();
        line(update(0, 1, Samples.basics()));
        assertEquals(line(update(1, 2, List.of(Samples.putService("a")))), List.of());
        assertEquals(line(update(2, 3, List.of(Samples.putService("b")))), List.of());
        assertEquals(line(update(3, 4, List.of(new Change.RemoveService("a")))), List.of());
        Action.Apply apply = first(follower.applied(APPLIED, now), Action.Apply.class);
        assertEquals(apply.update(), new Update(1, 4, List.of(Samples.putService("b"))));
        assertEquals(apply.result().revision(), 4);
        assertEquals(follower.activeConfiguration().revision(), 1);
    }

    @Test
    public void aSnapshotThatArrivesMeanwhileIsAppliedAsOne() {
        open();
        line(update(0, 1, Samples.basics()));
        Configuration second = Samples.basic().with(2, List.of(Samples.putService("a")));
        assertEquals(line(snapshot(second)), List.of());
        assertEquals(line(update(2, 3, List.of(Samples.putService("b")))), List.of());
        Action.ApplySnapshot apply =
                first(follower.applied(APPLIED, now), Action.ApplySnapshot.class);
        assertEquals(apply.configuration().revision(), 3);
        line(update(3, 4, List.of(Samples.putService("c"))));
        Action.Apply next = first(follower.applied(APPLIED, now), Action.Apply.class);
        assertEquals(next.update(), new Update(3, 4, List.of(Samples.putService("c"))));
    }

    @Test
    public void aRefusedRevisionLeavesTheLastInForceAndIsReported() {
        open();
        line(update(0, 1, Samples.basics()));
        follower.applied(APPLIED, now);
        line(update(1, 2, List.of(Samples.putService("a"))));
        now += 1000;
        List<Action> actions =
                follower.applied(new ApplyResult.Rejected("services.a: no such address"), now);
        Action.Warn warn = first(actions, Action.Warn.class);
        assertEquals(warn.message(), "revision 2: services.a: no such address");
        Action.Report report = first(actions, Action.Report.class);
        assertEquals(report.report().revision(), 1);
        assertEquals(report.report().rejectionReason(), warn.message());
        assertEquals(follower.activeConfiguration().revision(), 1);
        assertEquals(line(HEARTBEAT), List.of(), "it is not offered again");
        Action.Apply next =
                only(
                        line(update(2, 3, List.of(new Change.RemoveService("a")))),
                        Action.Apply.class);
        assertEquals(next.update(), new Update(1, 3, List.of()));
        now += 1000;
        Action.Report healed = only(follower.applied(APPLIED, now), Action.Report.class);
        assertEquals(healed.report(), new FollowerReport("gateway-1", "east", 3, null));
    }

    @Test
    public void afterARefusedSnapshotTheNextIsWhole() {
        open();
        line(snapshot(Samples.basic()));
        follower.applied(new ApplyResult.Rejected("no"), now);
        assertEquals(follower.activeConfiguration().revision(), 0);
        Action.ApplySnapshot next =
                only(
                        line(update(1, 2, List.of(Samples.putService("a")))),
                        Action.ApplySnapshot.class);
        assertEquals(next.configuration().revision(), 2);
    }

    @Test
    public void anEarlierSnapshotIsRefusedAndTold() {
        follower = follower(Samples.basic().with(9, List.of()), 1);
        open();
        refusedBy(line(snapshot(Samples.basic())), "no earlier one than the revision held, 9");
        assertEquals(follower.activeConfiguration().revision(), 9);
    }

    @Test
    public void anEarlierUpdateIsRefusedAndTold() {
        follower = follower(Samples.basic().with(9, List.of()), 1);
        open();
        refusedBy(line(update(7, 8, List.of())), "the revision held, 9, not 7 to 8");
        assertEquals(follower.receivedConfiguration().revision(), 9);
    }

    @Test
    public void aGapIsRefused() {
        open();
        refusedBy(line(update(1, 2, List.of())), "the revision held, 0, not 1 to 2");
        assertEquals(follower.receivedConfiguration().revision(), 0);
    }

    @Test
    public void anUnsoundUpdateIsRefused() {
        open();
        refusedBy(line(update(0, 1, List.of(Samples.putRoute("r", "s")))), "putRoute.service");
        assertEquals(follower.receivedConfiguration().revision(), 0);
    }

    @Test
    public void theHeldRevisionWithOtherContentIsRefused() {
        follower = follower(Samples.basic(), 1);
        open();
        assertEquals(line(snapshot(Samples.basic())), List.of(), "the same is no harm");
        refusedBy(
                line(snapshot(Configuration.EMPTY.with(1, List.of()))),
                "the content held at revision 1");
    }

    @Test
    public void badLinesAreRefused() {
        byte[] foreign = new SnapshotCodec("other").encode(Samples.basic());
        byte[] torn = SNAPSHOTS.encode(Samples.basic());
        torn[torn.length - 1]++;
        byte[] other = SNAPSHOTS.encode(Samples.basic());
        List<byte[]> lines =
                List.of(
                        "{\"version\":1,".getBytes(StandardCharsets.UTF_8),
                        "{\"version\":2,\"update\":{}}".getBytes(StandardCharsets.UTF_8),
                        "x".repeat(100).getBytes(StandardCharsets.UTF_8),
                        new byte[ConfigurationLimits.MAX_LINE_BYTES + 1],
                        snapshotLine(1, foreign),
                        snapshotLine(1, torn),
                        snapshotLine(2, other));
        for (byte[] each : lines) {
            start();
            open();
            refusedBy(line(each), "expected");
            assertEquals(follower.receivedConfiguration().revision(), 0);
        }
    }

    @Test
    public void faultsOfServersAreToldOnceAMinute() {
        open();
        assertTrue(has(line(new byte[] {'x'}), Action.Warn.class));
        now += 1000;
        open();
        List<Action> again = line(new byte[] {'x'});
        assertTrue(!has(again, Action.Warn.class) && has(again, Action.Report.class));
        now += Follower.WARNING_INTERVAL_MS;
        open();
        assertTrue(has(line(new byte[] {'x'}), Action.Warn.class));
    }

    @Test
    public void aFaultIsForgottenOnceAServerServesSteadily() {
        open();
        line(new byte[] {'x'});
        now += 1000;
        Action.Report report = open();
        assertTrue(report.report().rejectionReason().contains("json"));
        serveFor(Follower.STEADY_WATCH_MS + 1000);
        line(update(0, 1, Samples.basics()));
        assertNull(
                first(follower.applied(APPLIED, now), Action.Report.class)
                        .report()
                        .rejectionReason());
    }

    @Test
    public void aSilentServerIsLeftForAnother() {
        Endpoint first = open().endpoint();
        now += Follower.HEARTBEAT_TIMEOUT_MS - 1;
        assertEquals(follower.tick(now), List.of());
        now += 1;
        only(follower.tick(now), Action.Disconnect.class);
        assertEquals(follower.tick(now), List.of(), "not at once");
        now += EndpointRotation.INITIAL_BACKOFF_MS;
        Action.Connect next = only(follower.tick(now), Action.Connect.class);
        assertNotEquals(next.endpoint(), first);
        assertEquals(next.endpoint().region(), "east");
    }

    @Test
    public void heartbeatsKeepAWatch() {
        Endpoint endpoint = open().endpoint();
        for (Action each : serveFor(25_000)) {
            assertEquals(((Action.Report) each).endpoint(), endpoint, "only reports");
        }
    }

    @Test
    public void aLongLineOnASlowLinkIsNoSilenceForATime() {
        open();
        double until = now + Follower.LINE_TIMEOUT_MS;
        while (now < until - 200) {
            now += 100;
            follower.partialLine(now);
            assertFalse(has(follower.tick(now), Action.Disconnect.class));
        }
        List<Action> actions = new ArrayList<>();
        while (now < until + Follower.HEARTBEAT_TIMEOUT_MS + 200) {
            now += 100;
            follower.partialLine(now);
            actions.addAll(follower.tick(now));
        }
        assertTrue(has(actions, Action.Disconnect.class));
    }

    @Test
    public void anAttemptThatTakesTooLongIsGivenUp() {
        follower.tick(now);
        now += Follower.CONNECT_TIMEOUT_MS;
        only(follower.tick(now), Action.Disconnect.class);
    }

    @Test
    public void allServersAreTriedTheOwnRegionsFirstAndEverMoreSlowly() {
        List<Endpoint> tried = new ArrayList<>();
        List<Double> waits = new ArrayList<>();
        double closedAt = now;
        for (int i = 0; i < 40; ) {
            List<Action> actions = follower.tick(now);
            if (!actions.isEmpty()) {
                tried.add(only(actions, Action.Connect.class).endpoint());
                waits.add(now - closedAt);
                follower.closed("refused", now);
                closedAt = now;
                i++;
            }
            now += 1;
        }
        assertEquals(
                tried.subList(0, 4).stream().map(Endpoint::region).toList(),
                List.of("east", "east", "west", "west"));
        assertEquals(new HashSet<>(tried.subList(0, 4)).size(), 4);
        assertEquals(tried.subList(4, 8), tried.subList(0, 4));
        double first = EndpointRotation.INITIAL_BACKOFF_MS;
        assertTrue(waits.get(1) >= first / 2 && waits.get(1) <= first + 1, waits.toString());
        double last = waits.get(waits.size() - 1);
        double longest = EndpointRotation.MAX_BACKOFF_MS;
        assertTrue(last >= longest / 2 && last <= longest + 1, waits.toString());
    }

    @Test
    public void aSteadyWatchEndsTheSlowness() {
        for (int i = 0; i < 30; i++) {
            now += EndpointRotation.MAX_BACKOFF_MS;
            follower.tick(now);
            follower.closed("refused", now);
        }
        now += EndpointRotation.MAX_BACKOFF_MS;
        open();
        serveFor(Follower.STEADY_WATCH_MS + 1000);
        follower.closed("ended", now);
        now += EndpointRotation.INITIAL_BACKOFF_MS;
        only(follower.tick(now), Action.Connect.class);
    }

    @Test
    public void aServerThatEndsEachWatchAtOnceIsTriedEverMoreSlowly() {
        for (int i = 0; i < 30; i++) {
            now += EndpointRotation.MAX_BACKOFF_MS;
            open();
            line(HEARTBEAT);
            follower.closed("ended", now);
        }
        now += EndpointRotation.MAX_BACKOFF_MS / 2 - 1;
        assertEquals(follower.tick(now), List.of());
    }

    @Test
    public void returnsToTheOwnRegion() {
        follower.tick(now);
        follower.closed("refused", now);
        now += 1000;
        follower.tick(now);
        follower.closed("refused", now);
        now += 1000;
        assertEquals(open().endpoint().region(), "west");
        List<Action> actions = serveFor(2 * Follower.OWN_REGION_RETRY_MS);
        assertTrue(has(actions, Action.Disconnect.class));
        assertEquals(first(actions, Action.Connect.class).endpoint().region(), "east");
    }

    @Test
    public void reportsEveryTenSecondsWithSpread() {
        open();
        List<Action> reports = serveFor(95_000);
        assertTrue(reports.size() >= 9 && reports.size() <= 11, reports.size() + " reports");
    }

    @Test
    public void reportsOfManyRevisionsAreSpacedAndTheLastIsTold() {
        open();
        List<Action> actions = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            now += 10;
            line(update(i, i + 1, List.of()));
            actions.addAll(follower.applied(APPLIED, now));
            actions.addAll(follower.tick(now));
        }
        now += Follower.MIN_REPORT_GAP_MS;
        actions.addAll(follower.tick(now));
        assertTrue(actions.size() <= 6, actions.size() + " reports in 1.25 s");
        Action.Report last = (Action.Report) actions.get(actions.size() - 1);
        assertEquals(last.report().revision(), 100);
    }

    @Test
    public void whatIsAppliedWhileNothingIsOpenIsReportedLater() {
        open();
        line(update(0, 1, Samples.basics()));
        follower.closed("ended", now);
        assertEquals(follower.applied(APPLIED, now), List.of());
        now += 1000;
        assertEquals(open().report().revision(), 1);
    }

    @Test
    public void whatIsNotExpectedIsPassedOver() {
        assertEquals(follower.opened(now), List.of());
        assertEquals(follower.line(new byte[] {'x'}, now), List.of());
        assertEquals(follower.closed("ended", now), List.of());
        assertEquals(follower.applied(APPLIED, now), List.of());
        follower.partialLine(now);
        only(follower.tick(now), Action.Connect.class);
    }

    @Test
    public void needsNamesAndServers() {
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        new Follower(
                                "a b",
                                "east",
                                Samples.FLEET,
                                ENDPOINTS,
                                Configuration.EMPTY,
                                new Random(1)));
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        new Follower(
                                "a",
                                "east",
                                Samples.FLEET,
                                List.of(),
                                Configuration.EMPTY,
                                new Random(1)));
    }

    private Action.Report open() {
        only(follower.tick(now), Action.Connect.class);
        return only(follower.opened(now), Action.Report.class);
    }

    /** Heartbeats each second, ticks each tenth of one. */
    private List<Action> serveFor(double ms) {
        List<Action> actions = new ArrayList<>();
        double until = now + ms;
        for (int i = 1; now < until; i++) {
            now += Follower.TICK_INTERVAL_MS;
            if (i % 10 == 0) {
                actions.addAll(line(HEARTBEAT));
            }
            actions.addAll(follower.tick(now));
        }
        return actions;
    }

    private List<Action> line(byte[] line) {
        return follower.line(line, now);
    }

    private void refusedBy(List<Action> actions, String expected) {
        assertEquals(actions.size(), 3, actions.toString());
        String refusal = ((Action.Report) actions.get(0)).report().rejectionReason();
        assertTrue(refusal.contains(expected), refusal);
        assertEquals(((Action.Warn) actions.get(1)).message(), refusal);
        assertTrue(actions.get(2) instanceof Action.Disconnect);
    }

    private static byte[] update(long from, long revision, List<Change> changes) {
        return ConfigurationCodec.encode(
                new WatchMessage.UpdateMessage(new Update(from, revision, changes)));
    }

    private static byte[] snapshot(Configuration configuration) {
        return snapshotLine(configuration.revision(), SNAPSHOTS.encode(configuration));
    }

    private static byte[] snapshotLine(long revision, byte[] data) {
        return ConfigurationCodec.encode(new WatchMessage.SnapshotMessage(revision, data));
    }

    private static <T extends Action> T only(List<Action> actions, Class<T> type) {
        assertEquals(actions.size(), 1, actions.toString());
        return type.cast(actions.get(0));
    }

    private static <T extends Action> T first(List<Action> actions, Class<T> type) {
        for (Action each : actions) {
            if (type.isInstance(each)) {
                return type.cast(each);
            }
        }
        throw new AssertionError("no " + type.getSimpleName() + " in " + actions);
    }

    private static boolean has(List<Action> actions, Class<? extends Action> type) {
        return actions.stream().anyMatch(type::isInstance);
    }
}
