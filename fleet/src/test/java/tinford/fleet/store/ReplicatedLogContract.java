package tinford.fleet.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.testng.annotations.Test;

/** What each implementation of {@link ReplicatedLog} expected do, with three members. */
abstract class ReplicatedLogContract {
    static final int MAX_IN_FLIGHT = 32;
    private static final int MAX_ATTEMPTS = 200;
    private static final int POLLS_BETWEEN_ATTEMPTS = 5;
    static final int SNAPSHOT_THRESHOLD = 16;

    /** Three members, and the faults that a test injects. */
    interface Cluster extends AutoCloseable {
        /** Starts a member on the disk that it had. */
        ReplicatedLog open(int number, ReplicatedLog.StateMachine reader) throws IOException;

        /** Kills the members, all at once. */
        void stop(int... numbers) throws IOException;

        void loseDisk(int number) throws IOException;

        /** Cuts the links to both other members. */
        void cutOff(int number);

        void heal();

        /** Lets time pass until the condition holds; returns false when it does not in time. */
        boolean waitUntil(BooleanSupplier condition);

        @Override
        void close() throws IOException;
    }

    abstract Cluster newCluster() throws IOException;

    /** A new one for each case; overridden where a start takes long. */
    ClusterFixture fixture() throws IOException {
        return new ClusterFixture();
    }

    /** Records all entries in the order of arrival. */
    static final class RecordingStateMachine implements ReplicatedLog.StateMachine {
        private final List<String> entries = new ArrayList<>();
        private long lastIndex;
        private int restoreCount;

        @Override
        public synchronized void apply(long index, byte[] entry) {
            if (index <= lastIndex) {
                entries.add("index " + index + " after " + lastIndex);
            }
            lastIndex = index;
            entries.add(new String(entry, StandardCharsets.UTF_8));
        }

        @Override
        public synchronized byte[] snapshot() {
            return String.join("\n", entries).getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public synchronized void restore(long index, byte[] snapshot) {
            entries.clear();
            entries.addAll(new String(snapshot, StandardCharsets.UTF_8).lines().toList());
            lastIndex = index;
            restoreCount++;
        }

        synchronized List<String> entries() {
            return new ArrayList<>(entries);
        }

        synchronized int restoreCount() {
            return restoreCount;
        }
    }

    /** A cluster with logs and state machines by member number, and all acknowledged entries. */
    class ClusterFixture implements AutoCloseable {
        final Cluster cluster;
        private final ReplicatedLog[] logs = new ReplicatedLog[4];
        private final RecordingStateMachine[] stateMachines = new RecordingStateMachine[4];
        private final List<String> acknowledged = new ArrayList<>();
        private int proposed;

        ClusterFixture() throws IOException {
            cluster = newCluster();
            start(1, 2, 3);
            write(1, 3);
        }

        void start(int... numbers) throws IOException {
            for (int number : numbers) {
                stateMachines[number] = new RecordingStateMachine();
                logs[number] = cluster.open(number, stateMachines[number]);
            }
        }

        void stop(int... numbers) throws IOException {
            cluster.stop(numbers);
            for (int number : numbers) {
                logs[number] = null;
            }
        }

        CompletableFuture<Long> append(int member) {
            String entry = "e" + ++proposed;
            return logs[member]
                    .append(entry.getBytes(StandardCharsets.UTF_8))
                    .thenApply(
                            index -> {
                                synchronized (acknowledged) {
                                    acknowledged.add(entry);
                                }
                                return index;
                            });
        }

        /**
         * Appends entries until {@code count} of them are acknowledged; each attempt is another
         * entry.
         */
        void write(int member, int count) {
            for (int i = 0; i < count; i++) {
                CompletableFuture<Long> result = append(member);
                for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
                    CompletableFuture<Long> pending = result;
                    assertTrue(cluster.waitUntil(pending::isDone), "append never completed");
                    if (!result.isCompletedExceptionally()) {
                        break;
                    }
                    int[] polls = {POLLS_BETWEEN_ATTEMPTS};
                    cluster.waitUntil(() -> polls[0]-- < 0);
                    result = append(member);
                }
                assertFalse(result.isCompletedExceptionally(), "never acknowledged");
            }
        }

        int leader() {
            int[] found = new int[1];
            assertTrue(
                    cluster.waitUntil(
                            () -> {
                                for (int i = 1; i <= 3; i++) {
                                    if (logs[i] != null && logs[i].isLeader()) {
                                        found[0] = i;
                                    }
                                }
                                return found[0] > 0;
                            }),
                    "no leader");
            return found[0];
        }

        int memberOtherThan(int member) {
            return member == 1 ? 2 : 1;
        }

        /** Waits until all running members have the same entries, each acknowledged one once. */
        void assertAgreement() {
            List<String> expected = new ArrayList<>(acknowledged);
            boolean agree =
                    cluster.waitUntil(
                            () -> {
                                List<String> first = null;
                                for (int i = 1; i <= 3; i++) {
                                    if (logs[i] != null) {
                                        List<String> entries = stateMachines[i].entries();
                                        if (!entries.containsAll(expected)
                                                || first != null && !first.equals(entries)) {
                                            return false;
                                        }
                                        first = entries;
                                    }
                                }
                                return true;
                            });
            assertTrue(
                    agree,
                    "members differ: "
                            + expected
                            + " of "
                            + stateMachines[1].entries()
                            + " "
                            + stateMachines[2].entries()
                            + " "
                            + stateMachines[3].entries());
            for (int i = 1; i <= 3; i++) {
                assertEquals(
                        new HashSet<>(stateMachines[i].entries()).size(),
                        stateMachines[i].entries().size(),
                        "twice: " + stateMachines[i].entries());
            }
        }

        /** Starts what is stopped, restores all links, and waits until all members agree. */
        void repair() throws IOException {
            cluster.heal();
            for (int i = 1; i <= 3; i++) {
                if (logs[i] == null) {
                    start(i);
                }
            }
            assertAgreement();
        }

        @Override
        public void close() throws IOException {
            cluster.close();
        }
    }

    @Test
    public void appliesTheSameEntriesInTheSameOrderAndBoundsAppendsInFlight() throws IOException {
        try (ClusterFixture fixture = fixture()) {
            List<CompletableFuture<Long>> results = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                results.add(fixture.append(1 + i % 3));
            }
            assertTrue(
                    fixture.cluster.waitUntil(
                            () -> results.stream().allMatch(CompletableFuture::isDone)));
            assertTrue(
                    results.stream().noneMatch(CompletableFuture::isCompletedExceptionally),
                    "within bounds");
            fixture.assertAgreement();
            List<CompletableFuture<Long>> excess = new ArrayList<>();
            fixture.stop(2, 3);
            for (int i = 0; i < MAX_IN_FLIGHT + 5; i++) {
                excess.add(fixture.append(1));
            }
            assertTrue(
                    excess.subList(MAX_IN_FLIGHT, excess.size()).stream()
                            .allMatch(CompletableFuture::isCompletedExceptionally),
                    "beyond");
        }
    }

    @Test
    public void acknowledgesNothingWithoutAMajorityAndContinuesWithOne() throws IOException {
        try (ClusterFixture fixture = fixture()) {
            int leader = fixture.leader();
            for (int alone : new int[] {leader, fixture.memberOtherThan(leader)}) {
                int a = alone % 3 + 1;
                int b = a % 3 + 1;
                fixture.stop(a, b);
                List<CompletableFuture<Long>> results =
                        List.of(fixture.append(alone), fixture.append(alone));
                assertTrue(
                        fixture.cluster.waitUntil(
                                () -> results.stream().allMatch(CompletableFuture::isDone)));
                assertTrue(
                        results.stream().allMatch(CompletableFuture::isCompletedExceptionally),
                        "acknowledged alone");
                fixture.start(a, b);
                fixture.write(b, 2);
                fixture.assertAgreement();
            }
        }
    }

    @Test
    public void losesNoAcknowledgedEntryOverKills() throws IOException {
        try (ClusterFixture fixture = fixture()) {
            for (boolean first : new boolean[] {true, false}) {
                int leader = fixture.leader();
                int killed = first ? leader : fixture.memberOtherThan(leader);
                long term = fixture.logs[fixture.memberOtherThan(killed)].term();
                fixture.append(killed);
                fixture.stop(killed);
                fixture.write(
                        fixture.memberOtherThan(killed),
                        4); // the killed one catches up from its disk
                assertTrue(fixture.logs[fixture.memberOtherThan(killed)].term() >= term);
                fixture.start(killed);
                fixture.write(killed, 2);
                fixture.assertAgreement();
            }
            fixture.stop(1, 2, 3); // all at once, keeping their disks
            fixture.start(1, 2, 3);
            fixture.write(3, 1);
            fixture.assertAgreement();
        }
    }

    @Test
    public void aLeaderThatIsCutOffAcknowledgesNothing() throws IOException {
        try (ClusterFixture fixture = fixture()) {
            int stale = fixture.leader();
            fixture.cluster.cutOff(stale);
            CompletableFuture<Long> result = fixture.append(stale);
            fixture.write(fixture.memberOtherThan(stale), 3);
            assertTrue(fixture.cluster.waitUntil(result::isDone));
            assertTrue(result.isCompletedExceptionally(), "a stale leader acknowledged");
            fixture.cluster.heal();
            fixture.write(stale, 2);
            fixture.assertAgreement();
        }
    }

    @Test
    public void aMemberThatLostItsDiskCatchesUpBySnapshotAndCountsAgain() throws IOException {
        try (ClusterFixture fixture = fixture()) {
            int leader = fixture.leader();
            int lost = fixture.memberOtherThan(leader);
            fixture.stop(lost);
            fixture.write(leader, 3 * SNAPSHOT_THRESHOLD);
            fixture.cluster.loseDisk(lost);
            fixture.start(lost);
            fixture.assertAgreement();
            assertTrue(fixture.stateMachines[lost].restoreCount() > 0, "restored no snapshot");
            fixture.write(lost, 3);
            fixture.assertAgreement();
            // it counts again: with one other member it is a majority
            fixture.stop(leader);
            fixture.write(lost, 2);
        }
    }

    @Test
    public void aClosedLogFailsAppendsAndIsNotLeader() throws IOException {
        try (ClusterFixture fixture = fixture()) {
            ReplicatedLog log = fixture.logs[2];
            fixture.stop(2);
            log.close();
            assertTrue(log.append(new byte[1]).isCompletedExceptionally());
            assertFalse(log.isLeader());
        }
    }

    void runAllCases() throws IOException {
        appliesTheSameEntriesInTheSameOrderAndBoundsAppendsInFlight();
        acknowledgesNothingWithoutAMajorityAndContinuesWithOne();
        losesNoAcknowledgedEntryOverKills();
        aLeaderThatIsCutOffAcknowledgesNothing();
        aMemberThatLostItsDiskCatchesUpBySnapshotAndCountsAgain();
        aClosedLogFailsAppendsAndIsNotLeader();
    }
}
