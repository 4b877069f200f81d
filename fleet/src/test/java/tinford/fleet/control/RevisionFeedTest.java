package tinford.fleet.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.RejectedExecutionException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import tinford.fleet.config.Change;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.ServiceRecord;
import tinford.fleet.config.Update;

/** Which line a follower gets next, and which lines are retained. */
public class RevisionFeedTest {
    private Queue<Runnable> tasks;
    private RevisionFeed feed;

    @BeforeMethod
    public void start() {
        tasks = new ArrayDeque<>();
        feed = new RevisionFeed("fleet", tasks::add);
    }

    private void append(int changes) {
        Configuration before = feed.current();
        long revision = before.revision() + 1;
        List<Change> list = new ArrayList<>();
        for (int i = 0; i < changes; i++) {
            list.add(new Change.PutService(new ServiceRecord("service-" + revision + "-" + i)));
        }
        Update update = new Update(before.revision(), revision, list);
        feed.append(before.with(revision, list), update);
    }

    private void runTasks() {
        while (!tasks.isEmpty()) {
            tasks.remove().run();
        }
    }

    @Test
    public void retainedUpdatesAreBoundedByCount() {
        for (int i = 0; i < RevisionFeed.MAX_LINES + 10; i++) {
            append(1);
        }
        assertEquals(feed.oldestRetained(), 10);
        assertNull(feed.next(9), "a snapshot is to be made first");
        runTasks();
        assertEquals(feed.next(9).revision(), RevisionFeed.MAX_LINES + 10);
        assertEquals(feed.next(10).revision(), 11);
    }

    @Test
    public void retainedUpdatesAreBoundedByBytes() {
        for (int i = 0; i < 40; i++) {
            append(2000);
        }
        assertTrue(feed.cachedBytes() <= RevisionFeed.MAX_LINE_BYTES);
        assertTrue(feed.oldestRetained() > 0);
    }

    @Test
    public void followersAtTheSameRevisionShareTheBytes() {
        append(1);
        assertSame(feed.next(0).bytes(), feed.next(0).bytes());
        assertNull(feed.next(1));
        assertNull(feed.next(2), "ahead of the server");
    }

    @Test
    public void snapshotIsReusedWhileUpdatesLeadOnFromIt() {
        Configuration far = Configuration.EMPTY.with(50, List.of());
        feed.replace(far, List.of());
        assertNull(feed.next(3));
        assertNull(feed.next(4));
        assertEquals(tasks.size(), 1);
        runTasks();
        WatchLine snapshot = feed.next(3);
        append(1);
        append(1);
        assertSame(feed.next(4), snapshot);
        assertEquals(feed.next(50).revision(), 51);
        assertTrue(tasks.isEmpty());
    }

    @Test
    public void snapshotIsRemadeOnceNoUpdateLeadsOnFromIt() {
        feed.replace(Configuration.EMPTY.with(50, List.of()), List.of());
        feed.next(0);
        runTasks();
        WatchLine earlier = feed.next(0);
        for (int i = 0; i <= RevisionFeed.MAX_LINES; i++) {
            append(1);
        }
        assertNull(feed.next(0));
        runTasks();
        assertNotSame(feed.next(0), earlier);
        assertEquals(feed.next(0).revision(), feed.current().revision());
    }

    @Test
    public void snapshotThatIsOutdatedWhenReadyIsStillUsed() {
        feed.replace(Configuration.EMPTY.with(50, List.of()), List.of());
        feed.next(0);
        Runnable making = tasks.remove();
        append(1);
        making.run();
        assertEquals(feed.next(0).revision(), 51);
    }

    /** Enters the same services over and over: many bytes of updates, a small configuration. */
    private void appendRepeated(int times) {
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            changes.add(new Change.PutService(new ServiceRecord("service-" + i)));
        }
        for (int i = 0; i < times; i++) {
            Configuration before = feed.current();
            long revision = before.revision() + 1;
            feed.append(
                    before.with(revision, changes),
                    new Update(before.revision(), revision, changes));
        }
    }

    /** Plays a follower until it is current; returns the bytes that it was sent. */
    private long follow(long from) {
        long bytes = 0;
        long revision = from;
        while (!feed.isCurrent(revision)) {
            WatchLine line = feed.next(revision);
            if (line == null) {
                runTasks();
                line = feed.next(revision);
            }
            assertTrue(line.revision() > revision, "the follower must get on");
            bytes += line.bytes().length;
            revision = line.revision();
        }
        return bytes;
    }

    @Test
    public void snapshotIsSentWhenShorterThanTheUpdates() {
        appendRepeated(200);
        long kept = feed.cachedBytes();
        assertEquals(feed.oldestRetained(), 0, "all updates are kept");
        long sent = follow(0);
        assertTrue(sent < kept / 10, sent + " of " + kept + " bytes");
    }

    private void append(List<Change> changes) {
        Configuration before = feed.current();
        long revision = before.revision() + 1;
        feed.append(
                before.with(revision, changes), new Update(before.revision(), revision, changes));
    }

    /** Services whose names a snapshot can't compress. */
    private static List<Change> randomServices(int count) {
        Random random = new Random(1);
        List<Change> services = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String name = Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
            services.add(new Change.PutService(new ServiceRecord(name)));
        }
        return services;
    }

    @Test
    public void updatesAreSentWhenShorterThanASnapshot() {
        List<Change> services = randomServices(15_000);
        append(services);
        append(services.subList(0, 1_500));
        append(services.subList(0, 1_500));
        append(services.subList(0, 1_500));
        assertNull(feed.next(0), "a snapshot is to be made and compared first");
        runTasks();
        int snapshotBytes = feed.next(0).bytes().length;
        assertEquals(feed.next(0).revision(), 4, "shorter than all updates");
        int updateBytes = 3 * feed.next(3).bytes().length;
        assertTrue(
                updateBytes > RevisionFeed.MIN_BYTES_BEHIND_FOR_SNAPSHOT, updateBytes + " bytes");
        assertTrue(updateBytes < snapshotBytes, updateBytes + " and " + snapshotBytes + " bytes");
        assertEquals(feed.next(1).revision(), 2);
        assertEquals(feed.next(2).revision(), 3);
    }

    @Test
    public void noSnapshotIsMadeForAFewShortUpdates() {
        for (int i = 0; i < 50; i++) {
            append(200);
        }
        assertTrue(feed.cachedBytes() > RevisionFeed.MIN_BYTES_BEHIND_FOR_SNAPSHOT);
        long revision = feed.current().revision() - 2;
        assertEquals(feed.next(revision).revision(), revision + 1);
        assertTrue(tasks.isEmpty());
    }

    @Test
    public void followerThatKeepsUpGetsALargeUpdateAtOnce() {
        append(1);
        append(5_000);
        assertTrue(feed.next(1).bytes().length > RevisionFeed.MIN_BYTES_BEHIND_FOR_SNAPSHOT);
        assertEquals(feed.next(1).revision(), 2);
        assertTrue(tasks.isEmpty());
    }

    @Test
    public void earlierSnapshotIsUsedAndUpdatesLeadOnFromIt() {
        appendRepeated(200);
        follow(0);
        long snapshotAt = feed.next(0).revision();
        appendRepeated(200);
        assertEquals(feed.next(0).revision(), snapshotAt);
        assertEquals(feed.next(snapshotAt).revision(), snapshotAt + 1);
        assertTrue(tasks.isEmpty());
    }

    @Test
    public void updatesAreSentWhenNoSnapshotCanBeMade() {
        feed =
                new RevisionFeed(
                        "fleet",
                        task -> {
                            throw new RejectedExecutionException("closed");
                        });
        appendRepeated(200);
        feed.next(0);
        assertEquals(feed.next(0).revision(), 1);
        assertEquals(feed.next(1).revision(), 2);
    }

    @Test
    public void listenersAreCalledForChangesAndSnapshots() {
        int[] calls = new int[1];
        feed.addListener(() -> calls[0]++);
        append(1);
        assertEquals(calls[0], 1);
        feed.replace(Configuration.EMPTY.with(50, List.of()), List.of());
        assertEquals(calls[0], 2);
        feed.next(0);
        runTasks();
        assertEquals(calls[0], 3);
    }
}
