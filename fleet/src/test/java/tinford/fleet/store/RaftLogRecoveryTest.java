package tinford.fleet.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SortedMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.ratis.client.ClientFactory;
import org.apache.ratis.client.RaftClientRpc;
import org.apache.ratis.conf.Parameters;
import org.apache.ratis.grpc.GrpcFactory;
import org.apache.ratis.protocol.exceptions.AlreadyClosedException;
import org.apache.ratis.rpc.RpcFactory;
import org.apache.ratis.rpc.RpcType;
import org.apache.ratis.server.ServerFactory;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import tinford.fleet.store.ReplicatedLogContract.RecordingStateMachine;

/** Members that the library gives up, and appends whose answer is lost. */
public class RaftLogRecoveryTest {
    private static final int SIZE = 3;
    private static final RaftLog.Bounds BOUNDS = new RaftLog.Bounds(10_000, 32, 1000, 16, 250);
    private static final long SOME_ELECTION_TIMEOUTS_MS = 2000;

    private final RaftLog[] logs = new RaftLog[SIZE + 1];
    private final RecordingStateMachine[] stateMachines = new RecordingStateMachine[SIZE + 1];
    private Path folder;
    private SortedMap<Integer, InetSocketAddress> members;
    private PartitionableRpcType.Partition partition;

    @BeforeMethod
    public void startMembers() throws IOException {
        folder = Files.createTempDirectory("log");
        members = RaftLogTest.freeAddresses(SIZE);
        partition = new PartitionableRpcType.Partition();
        for (int number = 1; number <= SIZE; number++) {
            start(number, new PartitionableRpcType());
        }
        write(1, 3);
    }

    private void start(int number, RpcType rpcType) throws IOException {
        Parameters parameters = new Parameters();
        parameters.put(
                PartitionableRpcType.PARTITION_PARAMETER,
                partition,
                PartitionableRpcType.Partition.class);
        stateMachines[number] = new RecordingStateMachine();
        logs[number] =
                new RaftLog(
                        number,
                        members,
                        folder.resolve("" + number),
                        stateMachines[number],
                        BOUNDS,
                        rpcType,
                        parameters);
    }

    @AfterMethod(alwaysRun = true)
    public void closeMembers() throws IOException {
        for (int number = 1; number <= SIZE; number++) {
            if (logs[number] != null) {
                logs[number].close();
                logs[number] = null;
            }
        }
        RaftLogTest.delete(folder);
    }

    private void write(int member, int count) {
        for (int i = 0; i < count; i++) {
            append(member, "e" + System.nanoTime()).join();
        }
    }

    private CompletableFuture<Long> append(int member, String entry) {
        return logs[member].append(entry.getBytes(StandardCharsets.UTF_8));
    }

    private int leader() {
        int[] leader = new int[1];
        boolean found =
                RaftLogTest.waitUntil(
                        () -> {
                            for (int number = 1; number <= SIZE; number++) {
                                if (logs[number] != null && logs[number].isLeader()) {
                                    leader[0] = number;
                                }
                            }
                            return leader[0] > 0;
                        });
        assertTrue(found, "no leader");
        return leader[0];
    }

    private void assertAgreement() {
        boolean agree =
                RaftLogTest.waitUntil(
                        () ->
                                entries(1).equals(entries(2))
                                        && entries(2).equals(entries(3))
                                        && entries(1).stream().distinct().count()
                                                == entries(1).size());
        assertTrue(agree, entries(1) + " " + entries(2) + " " + entries(3));
    }

    private List<String> entries(int member) {
        return stateMachines[member].entries();
    }

    /** Guards against a member that is dead while its process lives. */
    @Test
    public void memberThatTheLibraryEndsIsStartedAnew() {
        int ended = leader() % SIZE + 1;
        logs[ended].supervisor.member().division.close();
        write(leader(), 40); // beyond a snapshot
        assertTrue(RaftLogTest.waitUntil(() -> logs[ended].restarts() > 0), "not restarted");
        assertTrue(RaftLogTest.waitUntil(logs[ended]::isRunning), "not running");
        assertAgreement();
        write(ended, 2);
        assertAgreement();
    }

    /** Guards against an election by a member without a group, which the library ends it for. */
    @Test
    public void memberThatRejoinsSurvivesTheSilenceOfItsLeader() throws Exception {
        int lost = leader() % SIZE + 1;
        logs[lost].close();
        RaftLogTest.delete(folder.resolve("" + lost));
        write(leader(), 40);
        start(lost, new PartitionableRpcType());
        assertTrue(RaftLogTest.waitUntil(() -> logs[lost].term() > 0), "never heard the leader");
        partition.isolatedMember = lost;
        TimeUnit.MILLISECONDS.sleep(SOME_ELECTION_TIMEOUTS_MS);
        partition.isolatedMember = 0;
        assertAgreement();
        assertEquals(logs[lost].restarts(), 0);
        assertTrue(RaftLogTest.waitUntil(logs[lost]::isRunning), "not running");
    }

    /** Guards against an append that fails, or is applied twice, as its connection was closed. */
    @Test
    public void appendWhoseConnectionIsClosedIsAppliedOnce() throws Exception {
        int member = leader() % SIZE + 1;
        AnswerLosingRpcType rpcType = new AnswerLosingRpcType();
        logs[member].close();
        start(member, rpcType);
        assertTrue(RaftLogTest.waitUntil(() -> logs[member].term() > 0), "never heard the leader");
        rpcType.losesNext.set(true);
        CompletableFuture<Long> appended = append(member, "once");
        assertTrue(RaftLogTest.waitUntil(() -> !rpcType.losesNext.get()), "not sent");
        rpcType.release.complete(null);
        appended.get(20, TimeUnit.SECONDS);
        assertAgreement();
        assertEquals(entries(member).stream().filter("once"::equals).count(), 1);
    }

    /** The same where the leader that applied it is gone before it is repeated. */
    @Test
    public void appendThatIsRepeatedAtTheNextLeaderIsAppliedOnce() throws Exception {
        int first = leader();
        int member = first % SIZE + 1;
        AnswerLosingRpcType rpcType = new AnswerLosingRpcType();
        logs[member].close();
        start(member, rpcType);
        assertTrue(RaftLogTest.waitUntil(() -> logs[member].term() > 0), "never heard the leader");
        int leader = leader();
        rpcType.losesNext.set(true);
        CompletableFuture<Long> appended = append(member, "once");
        assertTrue(RaftLogTest.waitUntil(() -> !rpcType.losesNext.get()), "not sent");
        logs[leader].close();
        logs[leader] = null;
        rpcType.release.complete(null);
        appended.get(20, TimeUnit.SECONDS);
        start(leader, new PartitionableRpcType());
        assertAgreement();
        assertEquals(entries(member).stream().filter("once"::equals).count(), 1);
    }

    /**
     * The library's gRPC, which loses the answer to one append that was applied, and reports the
     * connection as closed once it is released.
     */
    public static final class AnswerLosingRpcType implements RpcType {
        final AtomicBoolean losesNext = new AtomicBoolean();
        final CompletableFuture<Void> release = new CompletableFuture<>();

        @Override
        public String name() {
            return PartitionableRpcType.class.getName();
        }

        @Override
        public RpcFactory newFactory(Parameters parameters) {
            GrpcFactory factory = new GrpcFactory(parameters);
            return (RpcFactory)
                    Proxy.newProxyInstance(
                            AnswerLosingRpcType.class.getClassLoader(),
                            new Class<?>[] {ClientFactory.class, ServerFactory.class},
                            (proxy, method, arguments) -> {
                                Object result = invoke(factory, method, arguments);
                                return result instanceof RaftClientRpc rpc ? losing(rpc) : result;
                            });
        }

        private RaftClientRpc losing(RaftClientRpc rpc) {
            return (RaftClientRpc)
                    Proxy.newProxyInstance(
                            AnswerLosingRpcType.class.getClassLoader(),
                            new Class<?>[] {RaftClientRpc.class},
                            (proxy, method, arguments) -> {
                                Object result = invoke(rpc, method, arguments);
                                boolean loses =
                                        method.getName().equals("sendRequestAsyncUnordered")
                                                && losesNext.get();
                                return loses ? lose((CompletableFuture<?>) result) : result;
                            });
        }

        private static Object invoke(Object target, Method method, Object[] arguments)
                throws Throwable {
            try {
                return method.invoke(target, arguments);
            } catch (InvocationTargetException e) {
                throw e.getCause();
            }
        }

        private CompletableFuture<?> lose(CompletableFuture<?> answer) {
            return answer.thenCompose(
                            applied -> {
                                losesNext.set(false);
                                return release;
                            })
                    .thenCompose(
                            released ->
                                    CompletableFuture.failedFuture(
                                            new AlreadyClosedException("closed by the test")));
        }
    }
}
