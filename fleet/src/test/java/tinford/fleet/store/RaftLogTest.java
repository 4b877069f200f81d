package tinford.fleet.store;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.apache.ratis.conf.Parameters;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/** The log of the library keeps the contract: three members in one process, on loopback. */
public class RaftLogTest extends LogContract {
    private Three kept;

    /** The same members for all cases: starts and stops take most of the time. */
    @Override
    Three three() throws IOException {
        if (kept == null) {
            kept =
                    new Three() {
                        @Override
                        public void close() {}
                    };
        }
        kept.mend();
        return kept;
    }

    @AfterClass(alwaysRun = true)
    public void end() throws IOException {
        if (kept != null) {
            kept.cluster.close();
        }
    }

    @Override
    Cluster cluster() throws IOException {
        Path folder = Files.createTempDirectory("log");
        TreeMap<Integer, InetSocketAddress> members = new TreeMap<>();
        List<ServerSocket> held = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            held.add(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
            members.put(i, new InetSocketAddress("127.0.0.1", held.get(i - 1).getLocalPort()));
        }
        for (ServerSocket each : held) {
            each.close();
        }
        Cuts.Cut cut = new Cuts.Cut();
        ReplicatedLog[] logs = new ReplicatedLog[4];
        return new Cluster() {
            @Override
            public ReplicatedLog open(int number, ReplicatedLog.Reader reader) throws IOException {
                Parameters parameters = new Parameters();
                parameters.put(Cuts.CUT, cut, Cuts.Cut.class);
                logs[number] =
                        new RaftLog(
                                number,
                                members,
                                folder.resolve("" + number),
                                reader,
                                new RaftLog.Bounds(1500, IN_FLIGHT, 1000, SNAPSHOT, 250),
                                new Cuts(),
                                parameters);
                return logs[number];
            }

            @Override
            public void stop(int... numbers) {
                Arrays.stream(numbers)
                        .parallel()
                        .filter(each -> logs[each] != null)
                        .forEach(each -> logs[each].close());
            }

            @Override
            public void loseDisk(int number) throws IOException {
                clear(folder.resolve("" + number));
            }

            @Override
            public void cutOff(int number) {
                cut.off = number;
            }

            @Override
            public void heal() {
                cut.off = 0;
            }

            @Override
            public boolean until(BooleanSupplier what) {
                return waited(what);
            }

            @Override
            public void close() throws IOException {
                stop(1, 2, 3);
                for (InetSocketAddress each : members.values()) {
                    assertTrue(until(() -> free(each)), "port still taken: " + each);
                }
                assertTrue(
                        until(
                                () ->
                                        Thread.getAllStackTraces().keySet().stream()
                                                .map(Thread::getName)
                                                .noneMatch(
                                                        t ->
                                                                t.startsWith("tinford-log")
                                                                        || t.matches(
                                                                                "m\\d[@-].*"))),
                        "threads left");
                clear(folder);
            }
        };
    }

    private static boolean waited(BooleanSupplier what) {
        long end = System.nanoTime() + 30_000_000_000L;
        while (!what.getAsBoolean()) {
            if (System.nanoTime() > end) {
                return false;
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                return false;
            }
        }
        return true;
    }

    private static boolean free(InetSocketAddress at) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(at);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static void clear(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path each : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(each);
            }
        }
    }

    /** However many entries came, the disk holds the segments since the last two snapshots. */
    @Test
    public void theDiskStaysBounded() throws IOException {
        Path folder = Files.createTempDirectory("log");
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = socket.getLocalPort();
        }
        TreeMap<Integer, InetSocketAddress> members = new TreeMap<>();
        members.put(1, new InetSocketAddress("127.0.0.1", port));
        ReplicatedLog.Reader counts =
                new ReplicatedLog.Reader() {
                    @Override
                    public void apply(long index, byte[] entry) {}

                    @Override
                    public byte[] snapshot() {
                        return new byte[8];
                    }

                    @Override
                    public void restore(long index, byte[] snapshot) {}
                };
        try (ReplicatedLog log =
                new RaftLog(
                        1,
                        members,
                        folder,
                        counts,
                        new RaftLog.Bounds(5000, 100, 100_000, 50, 100))) {
            for (int i = 0; i < 8; i++) {
                List<java.util.concurrent.CompletableFuture<Long>> told = new ArrayList<>();
                for (int j = 0; j < 25; j++) {
                    told.add(log.append(new byte[100_000]));
                }
                assertTrue(waited(() -> told.stream().allMatch(t -> t.isDone())));
                assertTrue(told.stream().noneMatch(t -> t.isCompletedExceptionally()));
            }
            assertTrue(waited(() -> size(folder) < 12_000_000), "of 20 MB: " + size(folder));
        }
        clear(folder);
    }

    private static long size(Path folder) {
        try (Stream<Path> all = Files.walk(folder)) {
            return all.mapToLong(each -> each.toFile().length()).sum();
        } catch (IOException | java.io.UncheckedIOException e) {
            return Long.MAX_VALUE; // one went while it was counted
        }
    }
}
