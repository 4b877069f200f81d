package tinford.fleet.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import tinford.fleet.config.Change;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.SnapshotCodec;
import tinford.fleet.config.Update;
import tinford.fleet.config.WatchMessage;
import tinford.fleet.follow.ScriptedControlServer;
import tinford.fleet.follow.SnapshotFile;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.testing.Eventually;
import tinford.routing.catalog.Catalog;
import tinford.transport.EventLoop;

/** A gateway's configuration, from disk and control server; the test acts as the I/O thread. */
public class GatewayConfigurationTest {
    private static final String FLEET = "shop";
    private static final int TIMEOUT_S = 30;
    private final BlockingQueue<EventLoop.Task> scheduled = new LinkedBlockingQueue<>();
    private final List<Catalog> applied = new ArrayList<>();
    private final List<GatewayConfiguration> open = new ArrayList<>();
    private Path folder;
    private Path history;
    private ScriptedControlServer server;

    @BeforeMethod
    public void prepare() throws IOException {
        scheduled.clear();
        applied.clear();
        folder = Files.createTempDirectory("configuration");
        history = folder.resolve("history");
        server = new ScriptedControlServer("near");
    }

    @AfterMethod(alwaysRun = true)
    public void clear() throws IOException {
        open.forEach(GatewayConfiguration::close);
        open.clear();
        server.close();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    private GatewayConfiguration start(Set<String> neededRoutes) throws IOException {
        HistoryWriter writer = HistoryWriter.at(history.toString(), new Incarnation(3, 1));
        GatewayConfiguration configuration =
                new GatewayConfiguration(
                        new ConfigurationSettings(
                                FLEET, "near", List.of(server.endpoint()), folder),
                        "gateway-3",
                        new Random(1),
                        new CatalogBuilder(neededRoutes, 64 << 20),
                        applied::add,
                        scheduled::add,
                        new ConfigurationHistory(writer, () -> 0));
        open.add(configuration);
        configuration.start();
        return configuration;
    }

    /** Runs the next scheduled task, as the I/O thread does. */
    private void runNextTask() throws InterruptedException {
        EventLoop.Task next = scheduled.poll(TIMEOUT_S, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("no task was scheduled");
        }
        next.run();
    }

    private void store(Configuration configuration) throws IOException {
        try (SnapshotFile file = new SnapshotFile(folder, FLEET)) {
            file.write(configuration);
        }
    }

    private long storedRevision() {
        try (SnapshotFile file = new SnapshotFile(folder, FLEET)) {
            Configuration found = file.read().configuration();
            return found == null ? -1 : found.revision();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private JsonNode historyLine(String kind) throws Exception {
        List<JsonNode> found = new ArrayList<>();
        Eventually.holds(
                "a history line of kind " + kind,
                () -> {
                    try (Stream<String> lines = Files.lines(history)) {
                        for (String line : lines.toList()) {
                            JsonNode node = new ObjectMapper().readTree(line);
                            if (node.path("kind").asText().equals(kind)) {
                                found.add(node);
                            }
                        }
                    } catch (IOException halfWritten) {
                        return false;
                    }
                    return !found.isEmpty();
                });
        return found.get(0);
    }

    private static WatchMessage snapshot(Configuration configuration) {
        return new WatchMessage.SnapshotMessage(
                configuration.revision(), new SnapshotCodec(FLEET).encode(configuration));
    }

    @Test
    public void startsFromTheDiskWithoutAnyControlServer() throws Exception {
        store(CatalogBuilderTest.first());
        server.close();
        start(Set.of());
        assertEquals(applied.size(), 1);
        assertEquals(applied.get(0).revision(), 1);
        assertEquals(applied.get(0).requestClasses().keySet(), Set.of("read", "write"));
    }

    @Test
    public void startsOnTheSettingsWithoutDiskAndServers() throws Exception {
        server.close();
        start(Set.of());
        assertTrue(applied.isEmpty());
    }

    @Test
    public void followsFromTheStoredRevision() throws Exception {
        store(CatalogBuilderTest.first());
        start(Set.of());
        ScriptedControlServer.Watch watch = server.watch();
        assertEquals(watch.after(), 1);
        List<Change> changes = List.of(CatalogBuilderTest.plan("paid", 300));
        watch.send(new WatchMessage.UpdateMessage(new Update(1, 2, changes)));
        runNextTask();
        assertEquals(applied.get(1).revision(), 2);
        assertEquals(applied.get(1).plans().get("paid").quotaPerMs, 0.3);
        server.report(2);
        JsonNode line = historyLine("configuration");
        assertEquals(line.path("revision").asLong(), 1);
        assertEquals(line.path("from").asLong(), 0);
        assertTrue(line.path("turn_ms").isNumber());
        Eventually.holds("stored", () -> storedRevision() == 2);
    }

    /** Until the I/O thread has run the swap, nothing is reported and nothing more is built. */
    @Test
    public void reportsAConfigurationOnceTheIoThreadHasAppliedIt() throws Exception {
        GatewayConfiguration configuration = start(Set.of());
        ScriptedControlServer.Watch watch = server.watch();
        watch.send(snapshot(CatalogBuilderTest.first()));
        EventLoop.Task swap = scheduled.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertTrue(applied.isEmpty());
        swap.run();
        assertEquals(applied.size(), 1);
        assertEquals(server.report(1).rejectionReason(), null);
        configuration.close();
        watch.awaitEnd();
    }

    @Test
    public void rejectsWhatItCannotServeAndReportsTheReason() throws Exception {
        store(CatalogBuilderTest.first());
        start(Set.of("read"));
        ScriptedControlServer.Watch watch = server.watch();
        List<Change> changes = List.of(new Change.RemoveRoute("read"));
        watch.send(new WatchMessage.UpdateMessage(new Update(1, 2, changes)));
        runNextTask();
        String reported = server.rejectionReport().rejectionReason();
        assertTrue(reported.contains("routes.read: expected"), reported);
        assertEquals(applied.size(), 1, "the last one stays");
        JsonNode line = historyLine("configuration-refused");
        assertEquals(line.path("revision").asLong(), 2);
        assertTrue(line.path("refusal").asText().startsWith("routes.read: expected"));
        assertEquals(storedRevision(), 1);
    }

    /** A stored snapshot that lacks a needed route is not used. */
    @Test
    public void ignoresAStoredSnapshotThatItCannotServe() throws Exception {
        store(CatalogBuilderTest.first());
        start(Set.of("other"));
        assertTrue(applied.isEmpty());
        assertEquals(server.watch().after(), 0);
    }

    @Test
    public void ignoresATornSnapshot() throws Exception {
        store(CatalogBuilderTest.first());
        Path file = folder.resolve("configuration");
        byte[] whole = Files.readAllBytes(file);
        Files.write(file, Arrays.copyOf(whole, whole.length - 1));
        start(Set.of());
        assertTrue(applied.isEmpty());
        server.watch().send(snapshot(CatalogBuilderTest.first()));
        runNextTask();
        assertEquals(applied.get(0).revision(), 1);
        Eventually.holds("stored", () -> storedRevision() == 1);
    }
}
