package tinford.fleet.store;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.apache.ratis.conf.Parameters;
import org.testng.ITestResult;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;
import tinford.fleet.testing.Eventually;

/** The log by Ratis keeps the contract, with three members in one process, on loopback. */
public class RaftLogTest extends ReplicatedLogContract {
    private static final long WAIT_MS = 30_000;
    private static final int SIZE = 3;
    private ClusterFixture sharedFixture;

    /** One cluster for all cases, as starts and stops take most of the time. */
    @Override
    ClusterFixture fixture() throws IOException {
        if (sharedFixture == null) {
            sharedFixture =
                    new ClusterFixture() {
                        @Override
                        public void close() {}
                    };
        }
        sharedFixture.repair();
        return sharedFixture;
    }

    /** A case that failed must not make those behind it fail too. */
    @AfterMethod(alwaysRun = true)
    public void dropFixtureOfFailedCase(ITestResult result) throws IOException {
        if (!result.isSuccess()) {
            closeSharedFixture();
        }
    }

    @AfterClass(alwaysRun = true)
    public void closeSharedFixture() throws IOException {
        if (sharedFixture != null) {
            ClusterFixture closing = sharedFixture;
            sharedFixture = null;
            closing.cluster.close();
        }
    }

    @Override
    Cluster newCluster() throws IOException {
        return new RaftCluster();
    }

    /** Three members with their folders. */
    private static final class RaftCluster implements Cluster {
        private final Path folder = Files.createTempDirectory("log");
        private final SortedMap<Integer, InetSocketAddress> members = freeAddresses(SIZE);
        private final PartitionableRpcType.Partition partition =
                new PartitionableRpcType.Partition();
        private final ReplicatedLog[] logs = new ReplicatedLog[SIZE + 1];

        RaftCluster() throws IOException {}

        @Override
        public ReplicatedLog open(int number, ReplicatedLog.StateMachine stateMachine)
                throws IOException {
            Parameters parameters = new Parameters();
            parameters.put(
                    PartitionableRpcType.PARTITION_PARAMETER,
                    partition,
                    PartitionableRpcType.Partition.class);
            logs[number] =
                    new RaftLog(
                            number,
                            members,
                            folder.resolve("" + number),
                            stateMachine,
                            new RaftLog.Bounds(1500, MAX_IN_FLIGHT, 1000, SNAPSHOT_THRESHOLD, 250),
                            new PartitionableRpcType(),
                            parameters);
            return logs[number];
        }

        @Override
        public void stop(int... numbers) {
            Arrays.stream(numbers)
                    .parallel()
                    .filter(number -> logs[number] != null)
                    .forEach(number -> logs[number].close());
        }

        @Override
        public void loseDisk(int number) throws IOException {
            delete(folder.resolve("" + number));
        }

        @Override
        public void cutOff(int number) {
            partition.isolatedMember = number;
        }

        @Override
        public void heal() {
            partition.isolatedMember = 0;
        }

        @Override
        public boolean waitUntil(BooleanSupplier condition) {
            return RaftLogTest.waitUntil(condition);
        }

        @Override
        public void close() throws IOException {
            stop(1, 2, 3);
            for (InetSocketAddress address : members.values()) {
                assertTrue(waitUntil(() -> isFree(address)), "port still taken: " + address);
            }
            assertTrue(waitUntil(() -> !hasLogThreads()), "threads left");
            delete(folder);
        }

        private static boolean hasLogThreads() {
            return Thread.getAllStackTraces().keySet().stream()
                    .map(Thread::getName)
                    .anyMatch(name -> name.startsWith("tinford-log") || name.matches("m\\d[@-].*"));
        }
    }

    static SortedMap<Integer, InetSocketAddress> freeAddresses(int count) throws IOException {
        SortedMap<Integer, InetSocketAddress> addresses = new TreeMap<>();
        List<ServerSocket> sockets = new ArrayList<>();
        for (int number = 1; number <= count; number++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            sockets.add(socket);
            addresses.put(number, new InetSocketAddress("127.0.0.1", socket.getLocalPort()));
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return addresses;
    }

    static boolean waitUntil(BooleanSupplier condition) {
        try {
            return Eventually.holdsWithin(WAIT_MS, condition::getAsBoolean);
        } catch (InterruptedException e) {
            return false;
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    private static boolean isFree(InetSocketAddress address) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(address);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    static void delete(Path folder) throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    private static final class FixedSnapshot implements ReplicatedLog.StateMachine {
        @Override
        public void apply(long index, byte[] entry) {}

        @Override
        public byte[] snapshot() {
            return new byte[8];
        }

        @Override
        public void restore(long index, byte[] snapshot) {}
    }

    /** However many entries are appended, the segments since the last two snapshots remain. */
    @Test
    public void theDiskUsageStaysBounded() throws IOException {
        Path folder = Files.createTempDirectory("log");
        try (ReplicatedLog log =
                new RaftLog(
                        1,
                        freeAddresses(1),
                        folder,
                        new FixedSnapshot(),
                        new RaftLog.Bounds(5000, 100, 100_000, 50, 100))) {
            for (int batch = 0; batch < 8; batch++) {
                List<CompletableFuture<Long>> results = new ArrayList<>();
                for (int i = 0; i < 25; i++) {
                    results.add(log.append(new byte[100_000]));
                }
                assertTrue(waitUntil(() -> results.stream().allMatch(CompletableFuture::isDone)));
                assertTrue(results.stream().noneMatch(CompletableFuture::isCompletedExceptionally));
            }
            assertTrue(
                    waitUntil(() -> sizeBytes(folder) < 12_000_000),
                    "of 20 MB: " + sizeBytes(folder));
        }
        delete(folder);
    }

    private static long sizeBytes(Path folder) {
        try (Stream<Path> paths = Files.walk(folder)) {
            return paths.mapToLong(path -> path.toFile().length()).sum();
        } catch (IOException | UncheckedIOException e) {
            return Long.MAX_VALUE; // a file was deleted during the walk
        }
    }
}
