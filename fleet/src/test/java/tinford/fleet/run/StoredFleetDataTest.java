package tinford.fleet.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URISyntaxException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.fleet.budget.LedgerEntry;
import tinford.fleet.budget.StaticShares;
import tinford.fleet.membership.GossipCodec;
import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.LeaseTable;
import tinford.fleet.migration.MigrationEntry;
import tinford.fleet.migration.MigrationPlan;
import tinford.fleet.migration.MigrationStatus;
import tinford.fleet.store.FileStore;
import tinford.fleet.store.RaftLog;
import tinford.fleet.store.ReplicatedLog;
import tinford.fleet.store.Store;
import tinford.fleet.testing.Eventually;

/**
 * Data that an earlier version of the program wrote is read, and written again with the same bytes.
 * The files under {@code stored/} were written by the program of commit 2e8c0f1; they must never be
 * written anew to make a test pass.
 */
public class StoredFleetDataTest {
    private static final Incarnation FIRST = new Incarnation(1, 5000);
    private static final Incarnation SECOND = new Incarnation(2, 6000);
    private static final double STORED_AT_MS = 12_345.5;
    private static final int FIRST_INDEX = 3;

    private Path folder;

    @BeforeMethod
    public void createFolder() throws IOException {
        folder = Files.createTempDirectory("stored");
    }

    @AfterMethod(alwaysRun = true)
    public void deleteFolder() throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    private static Path stored(String name) {
        try {
            return Path.of(StoredFleetDataTest.class.getResource("/stored/" + name).toURI());
        } catch (URISyntaxException e) {
            throw new AssertionError(e);
        }
    }

    private static byte[] storedBytes(String name) throws IOException {
        return Files.readAllBytes(stored(name));
    }

    private static void copy(Path from, Path to) throws IOException {
        try (Stream<Path> all = Files.walk(from)) {
            for (Path path : all.toList()) {
                Path target = to.resolve(from.relativize(path).toString());
                if (Files.isDirectory(path)) {
                    Files.createDirectories(target);
                } else {
                    Files.copy(path, target);
                }
            }
        }
    }

    private static FleetStateMachine stateMachine() {
        return new FleetStateMachine(
                3, 3000, 100, 1000, new StaticShares(Map.of("s", 8), 0.5, 3), Map.of("web", "a"));
    }

    private static MigrationPlan plan() {
        return new MigrationPlan(
                "p",
                10,
                0.1,
                10,
                List.of(
                        new MigrationPlan.FrontendMigration(
                                "web",
                                "a",
                                "b",
                                List.of(),
                                0,
                                List.of(0.5, 1.0),
                                10,
                                5,
                                false,
                                true,
                                0)),
                Map.of("b", new MigrationPlan.GroupCapacity(20, 10, 0.3)));
    }

    /** In the order of the log, from {@link #FIRST_INDEX} on. */
    @DataProvider
    public Object[][] entries() {
        return new Object[][] {
            {"01-lease-renew", LeaseTable.renewalEntry(FIRST, 10_000, 3000)},
            {"02-lease-renew-second", LeaseTable.renewalEntry(SECOND, 10_005, 3000)},
            {"03-budget-offer", new LedgerEntry.CapacityOffer("s", 0, 8, 10_010).encode()},
            {
                "04-budget-tell",
                new LedgerEntry.DemandReport(FIRST, 10_020, 5, Map.of(7L, 2), Map.of(0, 1)).encode()
            },
            {
                "05-budget-grant",
                new LedgerEntry.Grant(
                                2,
                                10_030,
                                List.of(new LedgerEntry.GrantLine(FIRST, 0, 2)),
                                List.of(new LedgerEntry.GrantLine(FIRST, 7, 2)))
                        .encode()
            },
            {"06-lease-leave", LeaseTable.departureEntry(SECOND, 10_040)},
            {"07-migration-begin", MigrationEntry.begin("ann", 10_050, plan()).encode()},
            {"08-migration-ack", MigrationEntry.ack(FIRST, 1, 10_060).encode()},
            {"09-migration-go", MigrationEntry.proposeStep(10_500, 1, 1, 20).encode()},
            {"10-migration-report", MigrationEntry.report(FIRST, 2, 10_510, 20, 1, 5, 0).encode()},
            {"11-migration-halt", MigrationEntry.halt("ann", 10_520).encode()},
            {"12-migration-resume", MigrationEntry.resume("ann", 10_530, 1).encode()},
            {"13-migration-back", MigrationEntry.revert("ann", 10_540).encode()},
        };
    }

    @Test(dataProvider = "entries")
    public void eachKindOfEntryIsWrittenWithTheSameBytes(String name, byte[] written)
            throws IOException {
        assertEquals(written, storedBytes("entries/" + name + ".bin"), name);
    }

    private FleetStateMachine afterAllEntries() throws IOException {
        FleetStateMachine machine = stateMachine();
        long index = FIRST_INDEX;
        for (Object[] entry : entries()) {
            machine.apply(index++, storedBytes("entries/" + entry[0] + ".bin"));
        }
        return machine;
    }

    @Test
    public void theStoredEntriesLeadToTheStoredSnapshot() throws IOException {
        FleetStateMachine machine = afterAllEntries();
        assertEquals(machine.leases.rejectedEntries(), 0);
        assertEquals(machine.ledger.unknownEntries(), 0);
        assertEquals(machine.ledger.unreadableEntries(), 0);
        assertEquals(machine.ledger.staleEntries(), 0);
        assertEquals(machine.ledger.acceptedGrants(), 1);
        assertEquals(machine.snapshot(), storedBytes("fleet-state-machine.snapshot"));
    }

    @Test
    public void theStoredSnapshotIsRestoredAndWrittenWithTheSameBytes() throws IOException {
        byte[] snapshot = storedBytes("fleet-state-machine.snapshot");
        FleetStateMachine machine = stateMachine();
        machine.restore(FIRST_INDEX, snapshot);
        assertEquals(machine.snapshot(), snapshot);
        assertTrue(machine.leases.mayAct(FIRST));
        assertEquals(machine.ledger.granted(FIRST, machine.ledger.serverNumber("s")), 2);
        assertEquals(machine.ledger.accountGrant(FIRST, 7), 2);
        MigrationStatus status = machine.migration.status();
        assertEquals(status.plan().name, "p");
        assertEquals(machine.migration.haltCount(), 1);
    }

    @Test
    public void aStoredFileIsReadAndWrittenWithTheSameBytes() throws IOException {
        try (Store read = new FileStore(stored(""), "file-store", 1000, 0);
                Store written = new FileStore(folder, "file-store", 1000, 0)) {
            byte[] content = read.read(STORED_AT_MS).content();
            assertEquals(new String(content, StandardCharsets.UTF_8), "kept over restarts");
            written.write(content, STORED_AT_MS);
        }
        assertEquals(Files.readAllBytes(folder.resolve("file-store")), storedBytes("file-store"));
    }

    @Test
    public void aStoredGossipMessageIsReadAndWrittenWithTheSameBytes() throws IOException {
        byte[] message = storedBytes("gossip-message.bin");
        List<GossipCodec.Received> received = new GossipCodec(3, 5000).readRecords(message, 70_000);
        assertEquals(received.size(), 1);
        GossipRecord record = received.get(0).record();
        assertEquals(record.incarnation, FIRST);
        assertEquals(record.sequence, 7);
        assertEquals(record.retriesCededTo, SECOND);
        assertEquals(record.serverHealth.size(), 1);
        ByteBuffer again = GossipCodec.newMessage(GossipCodec.MAX_MESSAGE_BYTES);
        byte[] encoded = GossipCodec.encode(record, received.get(0).uptimeMs());
        assertTrue(GossipCodec.addRecord(again, encoded, received.get(0).ageMs()));
        assertEquals(GossipCodec.toBytes(again), message);
    }

    /** A snapshot and the entries after it, as a member finds them when it starts again. */
    @Test
    public void aStoredLogFolderIsRecovered() throws Exception {
        copy(stored("member/log"), folder.resolve("log"));
        TreeMap<Integer, InetSocketAddress> members = new TreeMap<>();
        try (ServerSocket port = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            members.put(1, new InetSocketAddress("127.0.0.1", port.getLocalPort()));
        }
        FleetStateMachine machine = stateMachine();
        byte[] expected = storedBytes("fleet-state-machine.recovered");
        try (ReplicatedLog log =
                new RaftLog(
                        1,
                        members,
                        folder.resolve("log"),
                        machine,
                        new RaftLog.Bounds(5000, 256, 64 << 10, 8, 200))) {
            Eventually.holds("the only member leads", log::isLeader);
            assertEquals(machine.snapshot(), expected);
        }
    }

    /**
     * The lock of an incarnation is held on the stored file, so that two processes of different
     * versions exclude each other.
     */
    @Test
    public void theStoredLockFileIsLocked() throws Exception {
        copy(stored("member"), folder);
        OperatorFile operatorFile =
                OperatorFile.of(
                        "f.toml",
                        "[log]\nfolder = \"" + folder + "\"\nmembers = [\"127.0.0.1:1\"]\n");
        try (FileChannel lock =
                FileChannel.open(folder.resolve("life.lock"), StandardOpenOption.WRITE)) {
            lock.tryLock().release();
            ReplicatedState state = new ReplicatedState(operatorFile, FIRST, 3, Map.of());
            assertThrows(OverlappingFileLockException.class, lock::tryLock);
            assertFalse(state.hasLeft());
        }
    }

    @Test
    public void aHistoryLineHasTheStoredForm() throws Exception {
        Path path = folder.resolve("history.jsonl");
        try (HistoryWriter history = HistoryWriter.at(path.toString(), FIRST)) {
            history.add(12_345, "start");
            history.add(12_346, "grant", "all", 4);
            history.add(12_347, "term", "holds", false);
            Eventually.holds("three lines", () -> Files.readAllLines(path).size() == 3);
        }
        assertEquals(
                withoutTime(Files.readString(path)),
                withoutTime(Files.readString(stored("history.jsonl"))));
    }

    /** The time since the machine started differs from run to run. */
    private static String withoutTime(String lines) {
        return lines.replaceAll("\\{\"at\":[0-9.E]+,", "{\"at\":T,");
    }
}
