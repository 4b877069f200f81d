package tinford.fleet.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/**
 * The store in a file keeps the contract, interrupted at each step of its write, and over the kill
 * of a real process.
 */
public class FileStoreTest extends StoreContract {
    private final List<Path> folders = new ArrayList<>();

    /**
     * Interrupts the write before one of its steps, or simulates a fault of the disk. Writing the
     * bytes takes two steps: half of them, all of them.
     */
    static final class InterruptedDisk implements DiskOperations {
        private final DiskOperations real = new DiskOperations.Real();
        private int stepsLeft = Integer.MAX_VALUE;
        private InMemoryStore.Fault fault = InMemoryStore.Fault.NONE;

        private void step() {
            if (stepsLeft-- == 0) {
                throw new Killed();
            }
        }

        @Override
        public void write(Path file, ByteBuffer bytes) throws IOException {
            step();
            if (fault == InMemoryStore.Fault.READ_ONLY) {
                throw new IOException("read-only");
            }
            if (stepsLeft == 0 || fault == InMemoryStore.Fault.FULL) {
                real.write(file, bytes.duplicate().limit(bytes.limit() / 2));
                if (fault == InMemoryStore.Fault.FULL) {
                    throw new IOException("full");
                }
            }
            step();
            real.write(file, bytes);
        }

        @Override
        public void force(Path file) throws IOException {
            step();
            real.force(file);
        }

        @Override
        public void rename(Path from, Path to) throws IOException {
            step();
            real.rename(from, to);
        }

        @Override
        public void forceFolder(Path folder) throws IOException {
            step();
            real.forceFolder(folder);
        }

        @Override
        public void delete(Path file) throws IOException {
            step();
            real.delete(file);
        }
    }

    private static final class Killed extends Error {
        private static final long serialVersionUID = 1;
    }

    private Path folder() throws IOException {
        folders.add(Files.createTempDirectory("store"));
        return folders.get(folders.size() - 1);
    }

    @Override
    StoreFixture newFixture() throws IOException {
        Path folder = folder();
        Path file = folder.resolve("content");
        InterruptedDisk disk = new InterruptedDisk();
        return new StoreFixture() {
            @Override
            public Store open() {
                return new FileStore(folder, "content", MAX_CONTENT_BYTES, MAX_FUTURE_MS, disk);
            }

            @Override
            public byte[] file() throws IOException {
                return Files.readAllBytes(file);
            }

            @Override
            public void setFile(byte[] newFile) throws IOException {
                Files.delete(file);
                if (newFile != null) {
                    Files.write(file, newFile);
                }
            }

            @Override
            public boolean setFault(InMemoryStore.Fault fault) {
                disk.fault = fault;
                return fault
                        != InMemoryStore.Fault
                                .UNREADABLE; // see treatsAFolderInPlaceOfTheFileAsUnreadable
            }

            @Override
            public boolean writeInterrupted(byte[] content, double nowMs, int step)
                    throws IOException {
                disk.stepsLeft = step;
                try {
                    open().write(content, nowMs);
                    return false;
                } catch (Killed e) {
                    return true;
                } finally {
                    disk.stepsLeft = Integer.MAX_VALUE;
                }
            }
        };
    }

    private static List<String> names(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString()).sorted().toList();
        }
    }

    /** A reader can't distinguish an interrupted write from one in progress. */
    @Test
    public void onlyTheNextWriteDeletesTheTemporaryFileOfAnInterruptedOne() throws IOException {
        Path folder = folder();
        Files.write(folder.resolve("content.tmp"), new byte[7]);
        Files.write(folder.resolve("other.tmp"), new byte[7]);
        FileStore store = new FileStore(folder, "content", MAX_CONTENT_BYTES, MAX_FUTURE_MS);
        assertTrue(store.read(NOW_MS).absenceReason().endsWith("none"));
        assertEquals(names(folder), List.of("content.tmp", "other.tmp"));
        store.write(new byte[] {1}, NOW_MS);
        assertEquals(store.read(NOW_MS).content(), new byte[] {1});
        assertEquals(names(folder), List.of("content", "other.tmp"));
    }

    /** Reads through another store after each step of a write. */
    private static final class ReadingDisk implements DiskOperations {
        private final DiskOperations real = new DiskOperations.Real();
        private final Store reader;
        private final List<byte[]> found = new ArrayList<>();

        ReadingDisk(Store reader) {
            this.reader = reader;
        }

        private void recordRead() {
            found.add(reader.read(NOW_MS).content());
        }

        @Override
        public void write(Path file, ByteBuffer bytes) throws IOException {
            real.write(file, bytes);
            recordRead();
        }

        @Override
        public void force(Path file) throws IOException {
            real.force(file);
            recordRead();
        }

        @Override
        public void rename(Path from, Path to) throws IOException {
            real.rename(from, to);
            recordRead();
        }

        @Override
        public void forceFolder(Path folder) throws IOException {
            real.forceFolder(folder);
            recordRead();
        }

        @Override
        public void delete(Path file) throws IOException {
            real.delete(file);
            recordRead();
        }
    }

    /** As a new process reads while the one that it replaces still writes. */
    @Test
    public void aReadByAnotherProcessDoesNotDisturbAWrite() throws IOException {
        Path folder = folder();
        byte[] first = {1};
        byte[] second = {2};
        new FileStore(folder, "content", MAX_CONTENT_BYTES, MAX_FUTURE_MS).write(first, NOW_MS);
        ReadingDisk disk =
                new ReadingDisk(new FileStore(folder, "content", MAX_CONTENT_BYTES, MAX_FUTURE_MS));
        new FileStore(folder, "content", MAX_CONTENT_BYTES, MAX_FUTURE_MS, disk)
                .write(second, NOW_MS);
        assertEquals(
                disk.found.toArray(byte[][]::new),
                new byte[][] {first, first, first, second, second});
        assertEquals(names(folder), List.of("content"));
    }

    @Test
    public void treatsAFolderInPlaceOfTheFileAsUnreadable() throws IOException {
        Path folder = folder();
        Files.createDirectory(folder.resolve("content"));
        assertTrue(
                new FileStore(folder, "content", MAX_CONTENT_BYTES, MAX_FUTURE_MS)
                        .read(NOW_MS)
                        .absenceReason()
                        .contains("can't be read"));
        assertTrue(
                new FileStore(folder.resolve("gone"), "content", MAX_CONTENT_BYTES, MAX_FUTURE_MS)
                        .read(NOW_MS)
                        .absenceReason()
                        .endsWith("none"));
    }

    /** Each content repeats one number, which the child prints once the write is acknowledged. */
    @Test
    public void aKilledProcessLeavesTheLastAcknowledgedContentOrTheNext() throws Exception {
        Path folder = folder();
        for (int incarnation = 0; incarnation < 2; incarnation++) {
            Process child =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-Xshare:auto",
                                    "-XX:TieredStopAtLevel=1",
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    WritingProcess.class.getName(),
                                    folder.toString())
                            .redirectError(ProcessBuilder.Redirect.DISCARD)
                            .start();
            int acknowledged = 0;
            try (var from = child.inputReader()) {
                for (int i = 0; i < 15 + 7 * incarnation; i++) {
                    acknowledged = Integer.parseInt(from.readLine());
                }
                child.toHandle().destroyForcibly(); // its output can still be read
                for (String line = from.readLine(); line != null; line = from.readLine()) {
                    acknowledged = Integer.parseInt(line);
                }
            }
            Store.ReadResult found =
                    new FileStore(folder, "content", MAX_CONTENT_BYTES, MAX_FUTURE_MS).read(NOW_MS);
            assertTrue(found.content() != null, found.absenceReason());
            int got = ByteBuffer.wrap(found.content()).getInt();
            assertTrue(
                    got >= acknowledged && got <= acknowledged + 2,
                    "acknowledged " + acknowledged + ", found " + got);
            assertEquals(found.content(), WritingProcess.content(got));
        }
    }

    /** The child process: writes until it is killed. */
    public static final class WritingProcess {
        static byte[] content(int number) {
            ByteBuffer content = ByteBuffer.allocate(MAX_CONTENT_BYTES);
            while (content.hasRemaining()) {
                content.putInt(number);
            }
            return content.array();
        }

        public static void main(String[] args) throws IOException {
            Store store =
                    new FileStore(Path.of(args[0]), "content", MAX_CONTENT_BYTES, MAX_FUTURE_MS);
            for (int i = 1; ; i++) {
                store.write(content(i), NOW_MS);
                System.out.println(i);
            }
        }
    }

    @AfterClass
    public void clear() throws IOException {
        for (Path folder : folders) {
            try (Stream<Path> all = Files.walk(folder)) {
                for (Path each : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(each);
                }
            }
        }
        assertTrue(folders.stream().noneMatch(Files::exists), Arrays.toString(folders.toArray()));
    }
}
