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
import java.util.function.BooleanSupplier;
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
import tinford.routing.catalog.Catalog;
import tinford.transport.EventLoop;

/** A gateway's configuration from disk and server to its catalog; the test is the I/O thread. */
public class GatewayConfigurationTest {
    private static final String FLEET = "shop";
    private static final int PATIENCE_S = 30;
    private final BlockingQueue<EventLoop.Task> entered = new LinkedBlockingQueue<>();
    private final List<Catalog> used = new ArrayList<>();
    private final List<GatewayConfiguration> open = new ArrayList<>();
    private Path folder;
    private Path history;
    private ScriptedControlServer server;

    @BeforeMethod
    public void prepare() throws IOException {
        entered.clear();
        used.clear();
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
        HistoryWriter told = HistoryWriter.at(history.toString(), new Incarnation(3, 1));
        GatewayConfiguration configuration =
                new GatewayConfiguration(
                        new ConfigurationSettings(
                                FLEET, "near", List.of(server.endpoint()), folder),
                        "gateway-3",
                        new Random(1),
                        new CatalogBuilder(neededRoutes, 64 << 20),
                        used::add,
                        entered::add,
                        new ConfigurationHistory(told, () -> 0));
        open.add(configuration);
        configuration.start();
        return configuration;
    }

    /** Plays what comes in next, as the I/O thread does. */
    private void turn() throws InterruptedException {
        EventLoop.Task next = entered.poll(PATIENCE_S, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("nothing came in");
        }
        next.run();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("it has not come to that");
            }
            Thread.sleep(10);
        }
    }

    private void keep(Configuration configuration) throws IOException {
        try (SnapshotFile file = new SnapshotFile(folder, FLEET)) {
            file.write(configuration);
        }
    }

    private long kept() {
        try (SnapshotFile file = new SnapshotFile(folder, FLEET)) {
            Configuration found = file.read().configuration();
            return found == null ? -1 : found.revision();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private JsonNode told(String kind) throws InterruptedException {
        List<JsonNode> found = new ArrayList<>();
        await(
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
        keep(CatalogBuilderTest.first());
        server.close();
        start(Set.of());
        assertEquals(used.size(), 1);
        assertEquals(used.get(0).revision(), 1);
        assertEquals(used.get(0).requestClasses().keySet(), Set.of("read", "write"));
    }

    @Test
    public void startsOnTheSettingsWithoutDiskAndServers() throws Exception {
        server.close();
        start(Set.of());
        assertTrue(used.isEmpty());
    }

    @Test
    public void followsFromWhatTheDiskHas() throws Exception {
        keep(CatalogBuilderTest.first());
        start(Set.of());
        ScriptedControlServer.Watch watch = server.watch();
        assertEquals(watch.after(), 1);
        List<Change> changes = List.of(CatalogBuilderTest.plan("paid", 300));
        watch.send(new WatchMessage.UpdateMessage(new Update(1, 2, changes)));
        turn();
        assertEquals(used.get(1).revision(), 2);
        assertEquals(used.get(1).plans().get("paid").quotaPerMs, 0.3);
        server.report(2);
        JsonNode line = told("configuration");
        assertEquals(line.path("revision").asLong(), 1);
        assertEquals(line.path("from").asLong(), 0);
        assertTrue(line.path("turn_ms").isNumber());
        await(() -> kept() == 2);
    }

    /** Until the I/O thread has played the swap nothing is reported, and nothing more is built. */
    @Test
    public void isInForceOnceItsTurnHasCome() throws Exception {
        GatewayConfiguration configuration = start(Set.of());
        ScriptedControlServer.Watch watch = server.watch();
        watch.send(snapshot(CatalogBuilderTest.first()));
        EventLoop.Task swap = entered.poll(PATIENCE_S, TimeUnit.SECONDS);
        assertTrue(used.isEmpty());
        swap.run();
        assertEquals(used.size(), 1);
        assertEquals(server.report(1).rejectionReason(), null);
        configuration.close();
        watch.awaitEnd();
    }

    @Test
    public void whatItCannotServeIsRefusedToldAndReported() throws Exception {
        keep(CatalogBuilderTest.first());
        start(Set.of("read"));
        ScriptedControlServer.Watch watch = server.watch();
        List<Change> changes = List.of(new Change.RemoveRoute("read"));
        watch.send(new WatchMessage.UpdateMessage(new Update(1, 2, changes)));
        turn();
        String reported = server.refusal().rejectionReason();
        assertTrue(reported.contains("routes.read: expected"), reported);
        assertEquals(used.size(), 1, "the last one stays");
        JsonNode line = told("configuration-refused");
        assertEquals(line.path("revision").asLong(), 2);
        assertTrue(line.path("refusal").asText().startsWith("routes.read: expected"));
        assertEquals(kept(), 1);
    }

    /**
     * What the disk has is served by no longer where the gateway can't do without what it lacks.
     */
    @Test
    public void aSnapshotThatCannotBeServedIsPassedOver() throws Exception {
        keep(CatalogBuilderTest.first());
        start(Set.of("other"));
        assertTrue(used.isEmpty());
        assertEquals(server.watch().after(), 0);
    }

    @Test
    public void aSnapshotThatIsTornIsPassedOver() throws Exception {
        keep(CatalogBuilderTest.first());
        Path file = folder.resolve("configuration");
        byte[] whole = Files.readAllBytes(file);
        Files.write(file, Arrays.copyOf(whole, whole.length - 1));
        start(Set.of());
        assertTrue(used.isEmpty());
        server.watch().send(snapshot(CatalogBuilderTest.first()));
        turn();
        assertEquals(used.get(0).revision(), 1);
        await(() -> kept() == 1);
    }
}
