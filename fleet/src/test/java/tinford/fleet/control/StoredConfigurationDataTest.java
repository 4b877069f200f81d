package tinford.fleet.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.fleet.config.Change;
import tinford.fleet.config.ChangeSet;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.ConfigurationCodec;
import tinford.fleet.config.Endpoint;
import tinford.fleet.config.Follower;
import tinford.fleet.config.FollowerReport;
import tinford.fleet.config.Outcome;
import tinford.fleet.config.PlanRecord;
import tinford.fleet.config.Proposal;
import tinford.fleet.config.Revert;
import tinford.fleet.config.RevisionHistory;
import tinford.fleet.config.RouteRecord;
import tinford.fleet.config.ServiceRecord;
import tinford.fleet.config.SnapshotCodec;
import tinford.fleet.config.TenantRecord;
import tinford.fleet.config.Update;
import tinford.fleet.config.WatchMessage;
import tinford.fleet.follow.SnapshotFile;
import tinford.fleet.store.FileStore;

/**
 * Configuration data that lasts or crosses processes, as version 0.1.0 wrote it before its types
 * were renamed: this version reads it, and writes the same bytes where it writes that form. The
 * snapshots are deflated, so their bytes also depend on the JDK's zlib.
 */
public class StoredConfigurationDataTest {
    private static final String FLEET = "stored-fleet";
    private static final String SNAPSHOT_NAME = "configuration";
    private static final int MAX_SNAPSHOT_FILE_BYTES = 8 << 20;
    private static final int FILE_HEADER_BYTES = 28;
    private static final int FILE_DATE_OFFSET = 8;
    private static final long LARGE_TENANT = 9_007_199_254_740_993L;

    private static final ChangeSet ADDITIONS =
            new ChangeSet(
                    "first",
                    null,
                    List.of(
                            new Change.PutService(new ServiceRecord("search")),
                            new Change.PutService(new ServiceRecord("mail")),
                            new Change.PutPlan(
                                    new PlanRecord("team", 10.5, 20, 8, 1, 0.5, 0.125, 30, 40, 2)),
                            new Change.PutPlan(new PlanRecord("trial", 0, 0, 0, 1, 0, 0, 0, 0, 0)),
                            new Change.PutRoute(
                                    new RouteRecord(
                                            "lookup",
                                            "search",
                                            100,
                                            400,
                                            1,
                                            0.25,
                                            Idempotency.IDEMPOTENT,
                                            DeduplicationScope.ALL,
                                            0,
                                            false)),
                            new Change.PutRoute(
                                    new RouteRecord(
                                            "send",
                                            "mail",
                                            250.5,
                                            2000,
                                            3,
                                            1,
                                            Idempotency.IDEMPOTENCY_KEY,
                                            DeduplicationScope.ZONE,
                                            60_000,
                                            false)),
                            new Change.PutRoute(
                                    new RouteRecord(
                                            "pay",
                                            "mail",
                                            250,
                                            2000,
                                            3,
                                            1,
                                            Idempotency.IDEMPOTENCY_KEY,
                                            DeduplicationScope.CELL,
                                            60_000,
                                            false)),
                            new Change.PutRoute(
                                    new RouteRecord(
                                            "stream",
                                            "search",
                                            900,
                                            9000,
                                            2,
                                            0,
                                            Idempotency.NON_IDEMPOTENT,
                                            DeduplicationScope.ALL,
                                            0,
                                            true)),
                            new Change.PutTenant(new TenantRecord(1, "team")),
                            new Change.PutTenant(new TenantRecord(LARGE_TENANT, "trial"))));

    private static final ChangeSet REMOVALS =
            new ChangeSet(
                    "second",
                    1L,
                    List.of(
                            new Change.RemoveTenant(LARGE_TENANT),
                            new Change.RemovePlan("trial"),
                            new Change.RemoveRoute("send"),
                            new Change.RemoveRoute("pay"),
                            new Change.RemoveService("mail")));

    private static final Revert REVERT = new Revert("third", 1);

    /** Refused at revision 3, since it expects revision 1. */
    private static final ChangeSet OUTDATED =
            new ChangeSet("fourth", 1L, List.of(new Change.RemoveTenant(1)));

    private Path folder;

    @BeforeMethod
    public void createFolder() throws IOException {
        folder = Files.createTempDirectory("stored-configuration");
    }

    @AfterMethod(alwaysRun = true)
    public void deleteFolder() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private static byte[] stored(String name) throws IOException {
        String path = "/stored/configuration/" + name;
        try (InputStream in = StoredConfigurationDataTest.class.getResourceAsStream(path)) {
            return in.readAllBytes();
        }
    }

    private static Configuration configurationAt(long revision) {
        return Configuration.EMPTY.with(revision, ADDITIONS.changes());
    }

    private static void assertSameConfiguration(Configuration actual, Configuration expected) {
        assertEquals(actual.revision(), expected.revision());
        assertEquals(actual.services(), expected.services());
        assertEquals(actual.routes(), expected.routes());
        assertEquals(actual.plans(), expected.plans());
        assertEquals(actual.tenants(), expected.tenants());
        assertEquals(actual.contentHash(), expected.contentHash());
    }

    @DataProvider
    public Object[][] logEntries() {
        return new Object[][] {
            {"log-entry-change-set-additions.json", ADDITIONS},
            {"log-entry-change-set-removals.json", REMOVALS},
            {"log-entry-revert.json", REVERT},
        };
    }

    @Test(dataProvider = "logEntries")
    public void logEntryIsReadAndWrittenUnchanged(String name, Proposal expected) throws Exception {
        Proposal proposal = ConfigurationCodec.decodeProposal(stored(name));
        assertEquals(proposal, expected);
        assertEquals(ConfigurationCodec.encode(proposal), stored(name));
    }

    @Test
    public void outcomesAreReadAndWrittenUnchanged() throws Exception {
        Outcome accepted = ConfigurationCodec.decodeOutcome(stored("outcome-accepted.json"));
        assertEquals(accepted, new Outcome.Accepted(3));
        assertEquals(ConfigurationCodec.encode(accepted), stored("outcome-accepted.json"));
        Outcome refused = ConfigurationCodec.decodeOutcome(stored("outcome-refused.json"));
        assertEquals(
                ((Outcome.Rejected) refused).rejection().toString(),
                "expectedRevision: expected the current revision, 3");
        assertEquals(ConfigurationCodec.encode(refused), stored("outcome-refused.json"));
    }

    @Test
    public void voterSnapshotIsReadAndWrittenUnchanged() throws Exception {
        RevisionHistory history = new RevisionHistory(FLEET);
        history.restore(stored("voter-snapshot.bin"));
        assertSameConfiguration(history.current(), configurationAt(3));
        assertEquals(history.oldestRetained(), 0);
        List<Update> updates = history.updatesSince(0).orElseThrow();
        assertEquals(updates.size(), 3);
        assertEquals(updates.get(0).changes(), ADDITIONS.changes());
        assertEquals(updates.get(1).changes(), REMOVALS.changes());
        assertEquals(history.snapshot(), stored("voter-snapshot.bin"));
    }

    @Test
    public void voterSnapshotKeepsTheOutcomesOfItsProposals() throws Exception {
        RevisionHistory history = new RevisionHistory(FLEET);
        history.restore(stored("voter-snapshot.bin"));
        assertEquals(history.retainedProposals(), 4);
        assertEquals(history.propose(ADDITIONS), new Outcome.Accepted(1));
        assertEquals(history.propose(REMOVALS), new Outcome.Accepted(2));
        assertEquals(history.propose(REVERT), new Outcome.Accepted(3));
        assertEquals(
                history.propose(OUTDATED),
                ConfigurationCodec.decodeOutcome(stored("outcome-refused.json")));
        assertEquals(history.current().revision(), 3);
    }

    /** The state that the log's entries lead to has the same bytes as the stored snapshot. */
    @Test
    public void appliedLogEntriesGiveTheVoterSnapshot() throws Exception {
        RevisionHistory history = new RevisionHistory(FLEET);
        for (Object[] entry : logEntries()) {
            history.propose(ConfigurationCodec.decodeProposal(stored((String) entry[0])));
        }
        history.propose(OUTDATED);
        assertEquals(history.snapshot(), stored("voter-snapshot.bin"));
    }

    @DataProvider
    public Object[][] snapshotFiles() {
        return new Object[][] {
            {"follower-last-good-configuration.bin"}, {"replica-snapshot.bin"},
        };
    }

    @Test(dataProvider = "snapshotFiles")
    public void snapshotFileIsReadAndWrittenUnchanged(String name) throws Exception {
        byte[] bytes = stored(name);
        Path path = Files.write(folder.resolve(SNAPSHOT_NAME), bytes);
        try (SnapshotFile file = new SnapshotFile(folder, FLEET)) {
            SnapshotFile.Loaded loaded = file.read();
            assertNull(loaded.problem());
            assertSameConfiguration(loaded.configuration(), configurationAt(3));
            file.write(loaded.configuration());
            assertEquals(contentOf(Files.readAllBytes(path)), contentOf(bytes));
        }
        try (FileStore store =
                new FileStore(
                        folder, SNAPSHOT_NAME, MAX_SNAPSHOT_FILE_BYTES, Double.POSITIVE_INFINITY)) {
            double writtenAt = ByteBuffer.wrap(bytes).getDouble(FILE_DATE_OFFSET);
            store.write(new SnapshotCodec(FLEET).encode(configurationAt(3)), writtenAt);
        }
        assertEquals(Files.readAllBytes(path), bytes);
    }

    private static byte[] contentOf(byte[] file) {
        return Arrays.copyOfRange(file, FILE_HEADER_BYTES, file.length);
    }

    @Test
    public void replicaServesTheSnapshotOnItsDisk() throws Exception {
        Files.write(folder.resolve(SNAPSHOT_NAME), stored("replica-snapshot.bin"));
        RevisionFeed feed = new RevisionFeed(FLEET, Runnable::run);
        SnapshotSaver saver = new SnapshotSaver(new SnapshotFile(folder, FLEET), feed);
        saver.load();
        saver.close();
        assertSameConfiguration(feed.current(), configurationAt(3));
    }

    @Test
    public void updateLineIsReadAndWrittenUnchanged() throws Exception {
        byte[] line = stored("watch-line-update.json");
        WatchMessage message = ConfigurationCodec.decodeWatchMessage(withoutLineFeed(line));
        Update update = ((WatchMessage.UpdateMessage) message).update();
        assertEquals(update, new Update(0, 1, ADDITIONS.changes()));
        RevisionFeed feed = new RevisionFeed(FLEET, Runnable::run);
        feed.append(configurationAt(1), update);
        assertEquals(feed.next(0).bytes(), line);
    }

    @Test
    public void snapshotLineIsReadAndWrittenUnchanged() throws Exception {
        byte[] line = stored("watch-line-snapshot.json");
        WatchMessage message = ConfigurationCodec.decodeWatchMessage(withoutLineFeed(line));
        WatchMessage.SnapshotMessage snapshot = (WatchMessage.SnapshotMessage) message;
        assertEquals(snapshot.revision(), 3);
        Configuration configuration = new SnapshotCodec(FLEET).decode(snapshot.data());
        assertSameConfiguration(configuration, configurationAt(3));
        Queue<Runnable> tasks = new ArrayDeque<>();
        RevisionFeed feed = new RevisionFeed(FLEET, tasks::add);
        feed.replace(configuration, List.of());
        assertNull(feed.next(0), "the snapshot is made first");
        tasks.remove().run();
        assertEquals(feed.next(0).bytes(), line);
    }

    @Test
    public void heartbeatLineIsReadAndWrittenUnchanged() throws Exception {
        byte[] line = stored("watch-line-heartbeat.json");
        Follower follower =
                new Follower(
                        "gateway-1",
                        "north",
                        FLEET,
                        List.of(new Endpoint("north", "127.0.0.1", 1)),
                        Configuration.EMPTY,
                        new Random(1));
        follower.tick(0);
        follower.watchOpened(0);
        double heardAt = Follower.HEARTBEAT_TIMEOUT_MS - 1;
        assertEquals(follower.lineReceived(withoutLineFeed(line), heardAt), List.of());
        assertEquals(follower.tick(heardAt + 2), List.of(), "not silent: no disconnect");
        assertEquals(WatchResponseStream.HEARTBEAT, line);
    }

    private static byte[] withoutLineFeed(byte[] line) {
        assertEquals(line[line.length - 1], '\n');
        return Arrays.copyOf(line, line.length - 1);
    }

    @DataProvider
    public Object[][] followerReports() {
        String refusal = "revision 3: routes.pay: expected one line";
        return new Object[][] {
            {"follower-report.json", new FollowerReport("gateway-1", "north", 3, null)},
            {"follower-report-refusal.json", new FollowerReport("gateway-1", "north", 2, refusal)},
        };
    }

    @Test(dataProvider = "followerReports")
    public void followerReportIsReadAndWrittenUnchanged(String name, FollowerReport expected)
            throws Exception {
        FollowerReport report = ConfigurationCodec.decodeReport(stored(name));
        assertEquals(report, expected);
        assertEquals(ConfigurationCodec.encode(report), stored(name));
    }
}
