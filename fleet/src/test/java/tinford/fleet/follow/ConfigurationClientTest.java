package tinford.fleet.follow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.UncheckedIOException;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.fleet.config.ApplyResult;
import tinford.fleet.config.Change;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.ConfigurationCodec;
import tinford.fleet.config.Endpoint;
import tinford.fleet.config.FollowerReport;
import tinford.fleet.config.ServiceRecord;
import tinford.fleet.config.SnapshotCodec;
import tinford.fleet.config.Update;
import tinford.fleet.config.WatchMessage;

/** A client over real connections to scripted control servers. */
public class ConfigurationClientTest {
    private static final String FLEET = "one";
    private static final int TIMEOUT_S = 30;
    private final List<AutoCloseable> open = new ArrayList<>();
    private final BlockingQueue<Configuration> applied = new LinkedBlockingQueue<>();
    private ScheduledExecutorService executor;
    private ScriptedControlServer near;
    private ScriptedControlServer far;
    private volatile ApplyResult applyResult;

    @BeforeMethod
    public void prepare() throws Exception {
        applied.clear();
        applyResult = new ApplyResult.Applied();
        executor = Executors.newScheduledThreadPool(2);
        near = new ScriptedControlServer("near");
        far = new ScriptedControlServer("far");
        open.add(near);
        open.add(far);
    }

    @AfterMethod(alwaysRun = true)
    public void clear() throws Exception {
        for (AutoCloseable one : open) {
            one.close();
        }
        open.clear();
        executor.shutdownNow();
    }

    private ConfigurationClient follow(Configuration inForce, ScriptedControlServer... servers) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (ScriptedControlServer server : servers) {
            endpoints.add(server.endpoint());
        }
        FollowerSettings settings =
                new FollowerSettings("gateway-7", "near", FLEET, endpoints, inForce, new Random(1));
        ConfigurationClient client =
                new ConfigurationClient(
                        settings, this::apply, HttpClient.newHttpClient(), executor);
        open.add(client);
        client.start();
        return client;
    }

    private ApplyResult apply(Configuration configuration, List<Change> changes) {
        if (applyResult instanceof ApplyResult.Applied) {
            applied.add(configuration);
        }
        return applyResult;
    }

    private Configuration nextApplied() throws InterruptedException {
        Configuration next = applied.poll(TIMEOUT_S, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("nothing was applied");
        }
        return next;
    }

    private static Change put(String service) {
        return new Change.PutService(new ServiceRecord(service));
    }

    private static WatchMessage update(long from, long revision) {
        return new WatchMessage.UpdateMessage(
                new Update(from, revision, List.of(put("s" + revision))));
    }

    private static Configuration at(long revision) {
        Configuration found = Configuration.EMPTY;
        for (long next = 1; next <= revision; next++) {
            found = found.with(next, List.of(put("s" + next)));
        }
        return found;
    }

    private static WatchMessage snapshot(long revision) {
        byte[] data = new SnapshotCodec(FLEET).encode(at(revision));
        return new WatchMessage.SnapshotMessage(revision, data);
    }

    @Test
    public void followsAndReports() throws Exception {
        ConfigurationClient client = follow(Configuration.EMPTY, near);
        ScriptedControlServer.Watch watch = near.watch();
        assertEquals(watch.after(), 0);
        assertEquals(watch.parameters.get("follower"), "gateway-7");
        assertEquals(watch.parameters.get("region"), "near");
        assertEquals(watch.parameters.get("fleet"), FLEET);
        watch.send(snapshot(4));
        assertEquals(nextApplied().revision(), 4);
        watch.send(update(4, 5));
        Configuration latest = nextApplied();
        assertEquals(latest.revision(), 5);
        assertEquals(latest.services().keySet(), at(5).services().keySet());
        FollowerReport report = near.report(5);
        assertNull(report.rejectionReason());
        assertEquals(client.activeConfiguration().revision(), 5);
        assertTrue(client.bytesReceived() > 0 && client.bytesSent() > 0);
    }

    @Test
    public void prefersItsRegionAndFailsOverToAnother() throws Exception {
        follow(Configuration.EMPTY, far, near);
        ScriptedControlServer.Watch first = near.watch();
        first.send(update(0, 1));
        assertEquals(nextApplied().revision(), 1);
        near.close();
        assertEquals(far.watch().after(), 1);
    }

    @Test
    public void truncatedLineIsIgnored() throws Exception {
        follow(Configuration.EMPTY, near);
        ScriptedControlServer.Watch first = near.watch();
        first.send(update(0, 1));
        nextApplied();
        byte[] whole = ConfigurationCodec.encode(update(1, 2));
        first.chunk(Arrays.copyOf(whole, whole.length - 3));
        first.close();
        ScriptedControlServer.Watch second = near.watch();
        assertEquals(second.after(), 1);
        second.send(update(1, 2));
        assertEquals(nextApplied().revision(), 2);
    }

    /** The server accepts the watch and sends nothing, not even heartbeats. */
    @Test
    public void silentServerIsLeft() throws Exception {
        follow(Configuration.EMPTY, near);
        ScriptedControlServer.Watch silent = near.watch();
        ScriptedControlServer.Watch next = near.watch();
        silent.awaitEnd();
        next.send(update(0, 1));
        assertEquals(nextApplied().revision(), 1);
    }

    @DataProvider
    Object[][] unreadable() {
        return new Object[][] {
            {"{"},
            {"[]"},
            {"{\"version\":1,\"other\":{}}"},
            {"{\"version\":99,\"update\":{\"from\":0,\"revision\":1,\"changes\":[]}}"},
            {"[".repeat(5000)},
            {"\u0000\u0001"},
        };
    }

    @Test(dataProvider = "unreadable")
    public void unreadableLineEndsTheWatchAndChangesNothing(String line) throws Exception {
        ConfigurationClient client = follow(at(3), near);
        ScriptedControlServer.Watch first = near.watch();
        first.line(line.getBytes(StandardCharsets.UTF_8));
        first.awaitEnd();
        ScriptedControlServer.Watch second = near.watch();
        assertEquals(second.after(), 3);
        assertEquals(client.activeConfiguration().revision(), 3);
        assertTrue(applied.isEmpty());
    }

    /** A line without end is dropped at the bound instead of being buffered. */
    @Test
    public void endlessLineEndsTheWatch() throws Exception {
        follow(at(3), near);
        ScriptedControlServer.Watch first = near.watch();
        byte[] part = new byte[1 << 16];
        Arrays.fill(part, (byte) 'x');
        try {
            for (int sent = 0; sent < 64 << 20; sent += part.length) {
                first.chunk(part);
            }
            throw new AssertionError("64 MiB were accepted");
        } catch (UncheckedIOException ended) {
            assertEquals(near.watch().after(), 3);
        }
    }

    /** Messages of a server that is behind, or of another fleet. */
    @DataProvider
    Object[][] unfit() {
        byte[] foreign = new SnapshotCodec("two").encode(at(9));
        byte[] torn = new SnapshotCodec(FLEET).encode(at(9));
        torn[torn.length / 2] ^= 1;
        return new Object[][] {
            {snapshot(2)},
            {update(1, 2)},
            {update(7, 8)},
            {new WatchMessage.SnapshotMessage(9, foreign)},
            {new WatchMessage.SnapshotMessage(9, torn)},
        };
    }

    @Test(dataProvider = "unfit")
    public void neverGoesBackAndRejectsMessagesThatDoNotFit(WatchMessage message) throws Exception {
        ConfigurationClient client = follow(at(3), near);
        near.watch().send(message);
        ScriptedControlServer.Watch second = near.watch();
        assertEquals(second.after(), 3);
        second.send(update(3, 4));
        assertEquals(nextApplied().revision(), 4);
        near.report(4);
        assertEquals(client.activeConfiguration().revision(), 4);
    }

    @Test
    public void rejectionIsReportedAndTheLastConfigurationStays() throws Exception {
        ConfigurationClient client = follow(at(3), near);
        ScriptedControlServer.Watch watch = near.watch();
        applyResult = new ApplyResult.Rejected("routes.read: expected to be there");
        watch.send(update(3, 4));
        FollowerReport report = near.rejectionReport();
        assertEquals(report.revision(), 3);
        assertTrue(report.rejectionReason().contains("routes.read"), report.rejectionReason());
        assertEquals(client.activeConfiguration().revision(), 3);
        applyResult = new ApplyResult.Applied();
        watch.send(update(4, 5));
        assertEquals(nextApplied().revision(), 5);
        assertNull(near.report(5).rejectionReason());
    }

    @Test
    public void serverThatRejectsTheWatchIsLeft() throws Exception {
        near.status(503);
        follow(Configuration.EMPTY, near, far);
        far.watch().send(update(0, 1));
        assertEquals(nextApplied().revision(), 1);
    }

    /** A response to a report that never ends delays only that report. */
    @Test
    public void reportsContinueAfterAnEndlessResponse() throws Exception {
        near.sendEndlessResponses();
        follow(Configuration.EMPTY, near);
        ScriptedControlServer.Watch watch = near.watch();
        ScheduledFuture<?> heartbeats =
                executor.scheduleAtFixedRate(watch::heartbeat, 0, 1, TimeUnit.SECONDS);
        watch.send(update(0, 1));
        near.report(1);
        watch.send(update(1, 2));
        near.report(2);
        heartbeats.cancel(false);
    }

    @Test
    public void closingEndsTheWatch() throws Exception {
        ConfigurationClient client = follow(Configuration.EMPTY, near);
        ScriptedControlServer.Watch watch = near.watch();
        client.close();
        watch.awaitEnd();
    }
}
