package tinford.fleet.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;
import tinford.fleet.config.Follower.Action;

/** Which control server a follower connects to, when it does so, and when it sends reports. */
public class FollowerTest extends FollowerFixture {
    @Test
    public void connectsToItsOwnRegionAfterItsRevision() {
        Follower holding = follower(ConfigurationFixtures.basicConfiguration(), 1);
        Action.Connect connect = only(holding.tick(0), Action.Connect.class);
        assertEquals(connect.endpoint().region(), "east");
        assertEquals(connect.afterRevision(), 1);
        assertEquals(holding.tick(1), List.of(), "made a second attempt during the first one");
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
    public void reportsWhenTheWatchIsOpen() {
        Endpoint endpoint = only(follower.tick(nowMs), Action.Connect.class).endpoint();
        Action.Report report = only(follower.watchOpened(nowMs), Action.Report.class);
        assertEquals(report.endpoint(), endpoint);
        assertEquals(report.report(), new FollowerReport("gateway-1", "east", 0, null));
    }

    @Test
    public void silentServerIsLeftForAnother() {
        Endpoint first = open().endpoint();
        nowMs += Follower.HEARTBEAT_TIMEOUT_MS - 1;
        assertEquals(follower.tick(nowMs), List.of());
        nowMs += 1;
        only(follower.tick(nowMs), Action.Disconnect.class);
        assertEquals(follower.tick(nowMs), List.of(), "reconnected without a backoff");
        nowMs += EndpointRotation.INITIAL_BACKOFF_MS;
        Action.Connect next = only(follower.tick(nowMs), Action.Connect.class);
        assertNotEquals(next.endpoint(), first);
        assertEquals(next.endpoint().region(), "east");
    }

    @Test
    public void heartbeatsKeepTheWatch() {
        Endpoint endpoint = open().endpoint();
        for (Action each : serveFor(25_000)) {
            assertEquals(((Action.Report) each).endpoint(), endpoint, "reported to another server");
        }
    }

    @Test
    public void longLineOnASlowLinkIsNotSilenceUntilItsTimeout() {
        open();
        double until = nowMs + Follower.LINE_TIMEOUT_MS;
        while (nowMs < until - 200) {
            nowMs += 100;
            follower.partialLineReceived(nowMs);
            assertFalse(has(follower.tick(nowMs), Action.Disconnect.class));
        }
        List<Action> actions = new ArrayList<>();
        while (nowMs < until + Follower.HEARTBEAT_TIMEOUT_MS + 200) {
            nowMs += 100;
            follower.partialLineReceived(nowMs);
            actions.addAll(follower.tick(nowMs));
        }
        assertTrue(has(actions, Action.Disconnect.class));
    }

    @Test
    public void connectAttemptTimesOut() {
        follower.tick(nowMs);
        nowMs += Follower.CONNECT_TIMEOUT_MS;
        only(follower.tick(nowMs), Action.Disconnect.class);
    }

    @Test
    public void allServersAreTriedOwnRegionFirstWithGrowingBackoff() {
        List<Endpoint> tried = new ArrayList<>();
        List<Double> waits = new ArrayList<>();
        double closedAt = nowMs;
        for (int i = 0; i < 40; ) {
            List<Action> actions = follower.tick(nowMs);
            if (!actions.isEmpty()) {
                tried.add(only(actions, Action.Connect.class).endpoint());
                waits.add(nowMs - closedAt);
                follower.watchClosed("refused", nowMs);
                closedAt = nowMs;
                i++;
            }
            nowMs += 1;
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
    public void steadyWatchResetsTheBackoff() {
        for (int i = 0; i < 30; i++) {
            nowMs += EndpointRotation.MAX_BACKOFF_MS;
            follower.tick(nowMs);
            follower.watchClosed("refused", nowMs);
        }
        nowMs += EndpointRotation.MAX_BACKOFF_MS;
        open();
        serveFor(Follower.STABLE_WATCH_MS + 1000);
        follower.watchClosed("ended", nowMs);
        nowMs += EndpointRotation.INITIAL_BACKOFF_MS;
        only(follower.tick(nowMs), Action.Connect.class);
    }

    @Test
    public void serverThatEndsEachWatchAtOnceIsTriedWithGrowingBackoff() {
        for (int i = 0; i < 30; i++) {
            nowMs += EndpointRotation.MAX_BACKOFF_MS;
            open();
            line(HEARTBEAT);
            follower.watchClosed("ended", nowMs);
        }
        nowMs += EndpointRotation.MAX_BACKOFF_MS / 2 - 1;
        assertEquals(follower.tick(nowMs), List.of());
    }

    @Test
    public void returnsToTheOwnRegion() {
        follower.tick(nowMs);
        follower.watchClosed("refused", nowMs);
        nowMs += 1000;
        follower.tick(nowMs);
        follower.watchClosed("refused", nowMs);
        nowMs += 1000;
        assertEquals(open().endpoint().region(), "west");
        List<Action> actions = serveFor(2 * Follower.OWN_REGION_RETRY_MS);
        assertTrue(has(actions, Action.Disconnect.class));
        assertEquals(first(actions, Action.Connect.class).endpoint().region(), "east");
    }

    @Test
    public void reportsEveryTenSecondsWithJitter() {
        open();
        List<Action> reports = serveFor(95_000);
        assertTrue(reports.size() >= 9 && reports.size() <= 11, reports.size() + " reports");
    }

    @Test
    public void reportsOfManyRevisionsAreSpacedAndTheLastOneIsReported() {
        open();
        List<Action> actions = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            nowMs += 10;
            line(update(i, i + 1, List.of()));
            actions.addAll(follower.applyCompleted(APPLIED, nowMs));
            actions.addAll(follower.tick(nowMs));
        }
        nowMs += Follower.MIN_REPORT_GAP_MS;
        actions.addAll(follower.tick(nowMs));
        assertTrue(actions.size() <= 6, actions.size() + " reports in 1.25 s");
        Action.Report last = (Action.Report) actions.get(actions.size() - 1);
        assertEquals(last.report().revision(), 100);
    }

    @Test
    public void revisionAppliedWithoutAWatchIsReportedLater() {
        open();
        line(update(0, 1, ConfigurationFixtures.basicChanges()));
        follower.watchClosed("ended", nowMs);
        assertEquals(follower.applyCompleted(APPLIED, nowMs), List.of());
        nowMs += 1000;
        assertEquals(open().report().revision(), 1);
    }

    @Test
    public void unexpectedEventsAreIgnored() {
        assertEquals(follower.watchOpened(nowMs), List.of());
        assertEquals(follower.lineReceived(new byte[] {'x'}, nowMs), List.of());
        assertEquals(follower.watchClosed("ended", nowMs), List.of());
        assertEquals(follower.applyCompleted(APPLIED, nowMs), List.of());
        follower.partialLineReceived(nowMs);
        only(follower.tick(nowMs), Action.Connect.class);
    }

    @Test
    public void rejectsInvalidNamesAndMissingServers() {
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        new Follower(
                                "a b",
                                "east",
                                ConfigurationFixtures.FLEET,
                                ENDPOINTS,
                                Configuration.EMPTY,
                                new Random(1)));
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        new Follower(
                                "a",
                                "east",
                                ConfigurationFixtures.FLEET,
                                List.of(),
                                Configuration.EMPTY,
                                new Random(1)));
    }
}
