package tinford.fleet.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;
import tinford.fleet.config.Change;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.PlanRecord;
import tinford.fleet.config.SnapshotCodec;
import tinford.fleet.config.TenantRecord;
import tinford.fleet.config.Update;
import tinford.fleet.config.WatchMessage;
import tinford.fleet.control.ControlSettings.WatchTiming;
import tinford.fleet.testing.Eventually;

/** Followers that stall, that are far behind, and that are many. */
public class WatchLoadTest {
    private final ControlClient client = new ControlClient();
    private final RevisionFeed[] feed = new RevisionFeed[1];
    private ControlServer server;

    @AfterMethod(alwaysRun = true)
    public void stop() {
        server.close();
    }

    private void start(int followers, WatchTiming timing) throws Exception {
        server = ControlServerFixtures.fed(feed, followers, timing);
    }

    private JsonNode status() throws Exception {
        return client.get(server.address(), "/status").body();
    }

    /** Appends a revision with many tenants, whose line exceeds the buffers of sockets. */
    private void appendLarge(int tenants) {
        Configuration before = feed[0].current();
        List<Change> changes = new ArrayList<>();
        if (before.revision() == 0) {
            changes.add(new Change.PutPlan(new PlanRecord("team", 5, 5, 0, 1, 0, 0, 0, 0, 0)));
        }
        for (int i = 0; i < tenants; i++) {
            changes.add(new Change.PutTenant(new TenantRecord(i * 7_919L, "team")));
        }
        long revision = before.revision() + 1;
        feed[0].append(
                before.with(revision, changes), new Update(before.revision(), revision, changes));
    }

    @Test
    public void stalledFollowerHoldsOneLineAndIsDisconnected() throws Exception {
        start(10, ControlServerFixtures.FAST);
        try (WatchConnection stalled = WatchConnection.openStalled(server, "gw-1");
                WatchConnection reading = WatchConnection.open(server, "gw-2", 0)) {
            reading.head();
            Eventually.holds("both watch", () -> status().path("followers").asInt() == 2);
            long largest = 0;
            for (int revision = 1; revision <= 30; revision++) {
                appendLarge(8_000);
                WatchMessage.UpdateMessage message = (WatchMessage.UpdateMessage) reading.message();
                assertEquals(message.update().revision(), revision);
                largest = Math.max(largest, status().path("pendingBytes").asLong());
            }
            long line = feed[0].next(29).bytes().length;
            assertTrue(line > 300_000, "a line of " + line);
            assertTrue(largest <= 2 * line, largest + " bytes for lines of " + line);
            Eventually.holds(
                    "the stalled follower is disconnected",
                    () -> status().path("followers").asInt() == 1);
            assertEquals(status().path("pendingBytes").asLong(), 0);
            appendLarge(1);
            assertEquals(((WatchMessage.UpdateMessage) reading.message()).update().revision(), 31);
        }
    }

    @Test
    public void followerTooFarBehindGetsTheSharedSnapshotAndThenUpdates() throws Exception {
        start(10, ControlServerFixtures.FAST);
        Configuration far = Configuration.EMPTY;
        far =
                far.with(
                        40,
                        List.of(
                                new Change.PutPlan(
                                        new PlanRecord("p", 1, 1, 0, 1, 0, 0, 0, 0, 0))));
        feed[0].replace(far, List.of());
        List<WatchConnection> watches = new ArrayList<>();
        try {
            for (int i = 0; i < 5; i++) {
                watches.add(WatchConnection.open(server, "gw-" + i, i));
            }
            for (WatchConnection watch : watches) {
                watch.head();
                WatchMessage.SnapshotMessage snapshot =
                        (WatchMessage.SnapshotMessage) watch.message();
                assertEquals(snapshot.revision(), 40);
                Configuration decoded =
                        new SnapshotCodec(ControlServerFixtures.FLEET).decode(snapshot.data());
                assertEquals(decoded.contentHash(), far.contentHash());
            }
            appendLarge(3);
            for (WatchConnection watch : watches) {
                WatchMessage.UpdateMessage message = (WatchMessage.UpdateMessage) watch.message();
                assertEquals(message.update().fromRevision(), 40);
            }
        } finally {
            for (WatchConnection watch : watches) {
                watch.close();
            }
        }
    }

    @Test
    public void moreFollowersThanAllowedAreRejected() throws Exception {
        start(2, ControlServerFixtures.FAST);
        try (WatchConnection first = WatchConnection.open(server, "gw-1", 0);
                WatchConnection second = WatchConnection.open(server, "gw-2", 0)) {
            assertTrue(first.head().contains(" 200 "));
            assertTrue(second.head().contains(" 200 "));
            try (WatchConnection third = WatchConnection.open(server, "gw-3", 0)) {
                assertTrue(third.head().contains(" 503 "));
            }
            assertEquals(status().path("followers").asInt(), 2);
        }
    }

    @Test
    public void secondWatchOfTheSameFollowerEndsTheFirst() throws Exception {
        start(2, ControlServerFixtures.FAST);
        try (WatchConnection first = WatchConnection.open(server, "gw-1", 0)) {
            first.head();
            try (WatchConnection second = WatchConnection.open(server, "gw-1", 0)) {
                second.head();
                assertEquals(second.line(), "");
                while (first.line() != null) {
                    // heartbeats from before it was ended
                }
                assertEquals(second.line(), "");
                assertEquals(status().path("followers").asInt(), 1);
            }
        }
    }

    @Test
    public void watchesOpenedDuringChangesMissNone() throws Exception {
        start(200, new WatchTiming(1000, 5000, 15_000));
        int revisions = 600;
        Thread changes =
                new Thread(
                        () -> {
                            for (int i = 0; i < revisions; i++) {
                                appendLarge(1);
                            }
                        });
        List<WatchConnection> watches = new ArrayList<>();
        changes.start();
        try {
            for (int i = 0; i < 200; i++) {
                watches.add(WatchConnection.open(server, "gw-" + i, 0));
            }
            for (WatchConnection watch : watches) {
                watch.head();
                for (int revision = 1; revision <= revisions; revision++) {
                    Update update = ((WatchMessage.UpdateMessage) watch.message()).update();
                    assertEquals(update.fromRevision(), revision - 1);
                    assertEquals(update.revision(), revision);
                }
            }
        } finally {
            changes.join();
            for (WatchConnection watch : watches) {
                watch.close();
            }
        }
    }

    @Test
    public void closingTheServerEndsItsWatches() throws Exception {
        start(10, ControlServerFixtures.FAST);
        try (WatchConnection watch = WatchConnection.open(server, "gw-1", 0)) {
            watch.head();
            assertEquals(watch.line(), "");
            server.close();
            assertEnds(watch);
        }
    }

    private static void assertEnds(WatchConnection watch) {
        try {
            while (watch.line() != null) {
                // heartbeats from before
            }
        } catch (SocketTimeoutException e) {
            throw new AssertionError("the watch is still open", e);
        } catch (IOException e) {
            // reset by the server: an end as well
        }
    }

    @Test
    public void thousandFollowersAllGetAChange() throws Exception {
        start(1000, new WatchTiming(1000, 5000, 15_000));
        List<WatchConnection> watches = new ArrayList<>();
        try {
            for (int i = 0; i < 1000; i++) {
                WatchConnection watch = WatchConnection.open(server, "gw-" + i, 0);
                watches.add(watch);
                watch.head();
            }
            appendLarge(2);
            for (WatchConnection watch : watches) {
                WatchMessage.UpdateMessage message = (WatchMessage.UpdateMessage) watch.message();
                assertEquals(message.update().revision(), 1);
            }
            assertEquals(status().path("followers").asInt(), 1000);
        } finally {
            for (WatchConnection watch : watches) {
                watch.close();
            }
        }
    }
}
