package tinford.fleet.follow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import tinford.fleet.config.Change;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.ServiceRecord;

/** The last good configuration on disk, and files that are damaged. */
public class SnapshotFileTest {
    private static final Configuration GOOD =
            Configuration.EMPTY.with(7, List.of(new Change.PutService(new ServiceRecord("shop"))));
    private Path folder;

    @BeforeMethod
    public void prepare() throws IOException {
        folder = Files.createTempDirectory("snapshot");
    }

    @AfterMethod(alwaysRun = true)
    public void clear() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    private void write(String fleet) throws IOException {
        try (SnapshotFile file = new SnapshotFile(folder, fleet)) {
            file.write(GOOD);
        }
    }

    private SnapshotFile.Loaded read(String fleet) throws IOException {
        try (SnapshotFile file = new SnapshotFile(folder, fleet)) {
            return file.read();
        }
    }

    private Path content() {
        return folder.resolve("configuration");
    }

    @Test
    public void writtenConfigurationIsRead() throws IOException {
        write("one");
        SnapshotFile.Loaded found = read("one");
        assertNull(found.problem());
        assertEquals(found.configuration().revision(), 7);
        assertEquals(found.configuration().contentHash(), GOOD.contentHash());
    }

    @Test
    public void missingFileIsReported() throws IOException {
        SnapshotFile.Loaded found = read("one");
        assertNull(found.configuration());
        assertTrue(found.problem().contains("none"), found.problem());
    }

    @Test
    public void fileTruncatedAnywhereIsNotUsable() throws IOException {
        write("one");
        byte[] whole = Files.readAllBytes(content());
        for (int length = 0; length < whole.length; length++) {
            Files.write(content(), Arrays.copyOf(whole, length));
            assertNull(read("one").configuration(), length + " bytes");
            assertNotNull(read("one").problem());
        }
    }

    @Test
    public void fileDamagedAnywhereIsNotUsable() throws IOException {
        write("one");
        byte[] whole = Files.readAllBytes(content());
        for (int at = 0; at < whole.length; at++) {
            byte[] damaged = whole.clone();
            damaged[at] ^= 0x10;
            Files.write(content(), damaged);
            assertNull(read("one").configuration(), "byte " + at);
        }
    }

    @Test
    public void fileOfAnotherFleetIsNotUsable() throws IOException {
        write("one");
        SnapshotFile.Loaded found = read("two");
        assertNull(found.configuration());
        assertNotNull(found.problem());
    }

    @Test
    public void interruptedWriteLeavesThePreviousConfiguration() throws IOException {
        write("one");
        Files.write(folder.resolve("configuration.tmp"), new byte[] {1, 2, 3});
        assertEquals(read("one").configuration().revision(), 7);
    }

    @Test
    public void onlyOneProcessWritesAtATime() throws IOException {
        try (SnapshotFile first = new SnapshotFile(folder, "one");
                SnapshotFile second = new SnapshotFile(folder, "one")) {
            first.write(GOOD);
            assertThrows(IOException.class, () -> second.write(GOOD));
            assertEquals(second.read().configuration().revision(), 7);
            first.close();
            second.write(GOOD);
        }
    }
}
