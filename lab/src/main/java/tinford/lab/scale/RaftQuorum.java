package tinford.lab.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import java.util.stream.Stream;
import tinford.fleet.store.RaftLog;
import tinford.fleet.store.ReplicatedLog;
import tinford.lab.sockets.FreePort;

/**
 * All voters of one replicated log in this process, over loopback, on a folder that goes at the
 * end.
 */
final class RaftQuorum implements AutoCloseable {
    /** What a gateway with a log of its own uses ({@code tinford.fleet.run}). */
    static final RaftLog.Bounds BOUNDS = new RaftLog.Bounds(2000, 256, 64 << 10, 5000, 400);

    /** The same, but an append counts as failed only after ten seconds, as on a busy machine. */
    static final RaftLog.Bounds PATIENT_BOUNDS =
            new RaftLog.Bounds(10_000, 256, 64 << 10, 5000, 400);

    /** Longer than any append may take by these bounds. */
    static final long APPEND_WAIT_MS = 20_000;

    private static final long LEADER_WAIT_MS = 60_000;
    private static final long POLL_MS = 5;

    private final Path folder;
    private final List<RaftLog> members = new ArrayList<>();

    /** Starts all voters side by side; each has a reader of its own. */
    RaftQuorum(int voters, RaftLog.Bounds bounds, Supplier<ReplicatedLog.StateMachine> readers)
            throws IOException {
        folder = Files.createTempDirectory("raft-quorum");
        TreeMap<Integer, InetSocketAddress> addresses = addresses(voters);
        try {
            for (int number : addresses.keySet()) {
                Path own = folder.resolve(Integer.toString(number));
                members.add(new RaftLog(number, addresses, own, readers.get(), bounds));
            }
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private static TreeMap<Integer, InetSocketAddress> addresses(int voters) throws IOException {
        Set<Integer> ports = new TreeSet<>();
        while (ports.size() < voters) {
            ports.add(FreePort.find());
        }
        TreeMap<Integer, InetSocketAddress> addresses = new TreeMap<>();
        for (int port : ports) {
            String host = InetAddress.getLoopbackAddress().getHostAddress();
            addresses.put(addresses.size() + 1, new InetSocketAddress(host, port));
        }
        return addresses;
    }

    /** The member that leads, as soon as there is one. */
    ReplicatedLog awaitLeader() throws InterruptedException, TimeoutException {
        long deadline = System.currentTimeMillis() + LEADER_WAIT_MS;
        while (System.currentTimeMillis() < deadline) {
            for (ReplicatedLog member : members) {
                if (member.isLeader()) {
                    return member;
                }
            }
            Thread.sleep(POLL_MS);
        }
        throw new TimeoutException("no leader of " + members.size() + " within a minute");
    }

    /** The member that the number falls to, by turns. */
    ReplicatedLog member(int number) {
        return members.get(number % members.size());
    }

    @Override
    public void close() throws IOException {
        members.parallelStream().forEach(RaftLog::close);
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
