package tinford.fleet.store;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/**
 * Simulates the logs of all members in one place, for tests and the lab: the outcomes of a
 * consensus without its protocol. Single-threaded, driven by {@link #advance}; times are in ms of
 * that driven clock, and random draws come from the generator handed in. Bounds: {@code
 * maxInFlight} appends a member; entries since the last snapshot.
 */
public final class InMemoryLogs {
    /** A committed entry. */
    private record Entry(long index, byte[] bytes) {}

    private static final int MAX_MEMBERS = 1000;

    private final List<InMemoryLogMember> members = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final TreeSet<Integer> cutLinks = new TreeSet<>();
    private final RandomGenerator random;
    private final double maxDelayMs;
    private final double electionTimeoutMs;
    private final double appendTimeoutMs;
    private final int maxInFlight;
    private final int snapshotThreshold;
    private double nowMs;
    private InMemoryLogMember leader;
    private double leaderSeenMs;
    private long term;
    private long lastIndex;
    private long snapshotIndex;
    private byte[] snapshot = new byte[0];

    /**
     * @param size number of members, which are numbered from 1
     * @param maxDelayMs of each step of an append and of each batch of applied entries
     */
    public InMemoryLogs(
            int size,
            double maxDelayMs,
            double electionTimeoutMs,
            double appendTimeoutMs,
            int maxInFlight,
            int snapshotThreshold,
            RandomGenerator random) {
        for (int number = 1; number <= size; number++) {
            members.add(new InMemoryLogMember(number));
        }
        this.maxDelayMs = maxDelayMs;
        this.electionTimeoutMs = electionTimeoutMs;
        this.appendTimeoutMs = appendTimeoutMs;
        this.maxInFlight = maxInFlight;
        this.snapshotThreshold = snapshotThreshold;
        this.random = random;
    }

    private double drawDelayMs() {
        return maxDelayMs * random.nextDouble();
    }

    private InMemoryLogMember member(int number) {
        return members.get(number - 1);
    }

    /**
     * Starts an incarnation of a member, with the entries on its disk.
     *
     * @throws IllegalStateException the member runs already
     */
    public ReplicatedLog open(int number, ReplicatedLog.StateMachine stateMachine) {
        InMemoryLogMember member = member(number);
        member.start(stateMachine);
        return member.handle(entry -> append(member, entry));
    }

    private InMemoryLogMember.Append append(InMemoryLogMember member, byte[] entry) {
        if (member.appends.size() >= maxInFlight) {
            return InMemoryLogMember.Append.rejected(
                    LogAppendException.tooManyInFlight(maxInFlight));
        }
        InMemoryLogMember.Append append =
                new InMemoryLogMember.Append(
                        entry.clone(), nowMs + drawDelayMs(), nowMs + appendTimeoutMs);
        member.appends.add(append);
        return append;
    }

    /** Stops a member as a kill does: its state machine is not notified. */
    public void stop(int number) {
        member(number).close();
    }

    /** Erases the disk of a stopped member. */
    public void loseDisk(int number) {
        member(number).storedIndex = 0;
    }

    /** Cuts the link between two members in both directions, until {@link #heal}. */
    public void cut(int number, int otherNumber) {
        cutLinks.add(link(number, otherNumber));
    }

    /** Restores all links. */
    public void heal() {
        cutLinks.clear();
    }

    private static int link(int number, int otherNumber) {
        return Math.min(number, otherNumber) * MAX_MEMBERS + Math.max(number, otherNumber);
    }

    private boolean reaches(InMemoryLogMember from, InMemoryLogMember to) {
        return from.isRunning()
                && to.isRunning()
                && (from == to || !cutLinks.contains(link(from.number, to.number)));
    }

    /** Whether it reaches a majority, one of which stores all committed entries. */
    private boolean canLead(InMemoryLogMember candidate) {
        int reached = 0;
        long maxStoredIndex = -1;
        for (InMemoryLogMember member : members) {
            if (reaches(candidate, member)) {
                reached++;
                maxStoredIndex = Math.max(maxStoredIndex, member.storedIndex);
            }
        }
        return 2 * reached > members.size() && maxStoredIndex >= lastIndex;
    }

    private boolean hasLeader() {
        return leader != null && canLead(leader);
    }

    /** Advances the clock: due entries are committed, applied and acknowledged within the call. */
    public void advance(double toMs) {
        nowMs = Math.max(nowMs, toMs);
        elect();
        for (InMemoryLogMember member : members) {
            processAppends(member);
        }
        for (InMemoryLogMember member : members) {
            applyEntries(member);
        }
        takeSnapshot();
    }

    private void elect() {
        if (hasLeader()) {
            leaderSeenMs = nowMs;
            announceLeader();
            return;
        }
        if (nowMs - leaderSeenMs < electionTimeoutMs) {
            return;
        }
        InMemoryLogMember oldLeader = leader;
        leader = members.stream().filter(this::canLead).findFirst().orElse(null);
        if (leader != null) {
            term++;
            lastIndex++; // a new leader appends an entry of its own
            leaderSeenMs = nowMs;
            replicateAll();
        }
        // a leader that was cut off believes for one more timeout that it leads
        if (oldLeader != null
                && oldLeader != leader
                && nowMs - leaderSeenMs >= 2 * electionTimeoutMs) {
            oldLeader.isLeader = false;
        }
    }

    private void announceLeader() {
        for (InMemoryLogMember member : members) {
            if (reaches(leader, member)) {
                member.term = term;
                member.isLeader = member == leader;
            }
        }
    }

    /** Stores all entries on each member that the leader reaches. */
    private void replicateAll() {
        announceLeader();
        for (InMemoryLogMember member : members) {
            if (reaches(leader, member)) {
                member.storedIndex = lastIndex;
            }
        }
    }

    private void commit(byte[] bytes) {
        entries.add(new Entry(++lastIndex, bytes));
        replicateAll();
    }

    private void processAppends(InMemoryLogMember member) {
        for (InMemoryLogMember.Append append : new ArrayList<>(member.appends)) {
            boolean reachesLeader = hasLeader() && reaches(leader, member);
            boolean isDue = append.dueMs <= nowMs && reachesLeader;
            if (isDue && append.receivedInTerm == 0) {
                append.receivedInTerm = term;
                append.dueMs = nowMs + drawDelayMs();
            } else if (isDue) {
                member.appends.remove(append);
                finish(append);
            } else if (nowMs >= append.deadlineMs) {
                member.appends.remove(append);
                append.result.completeExceptionally(LogAppendException.timedOut(appendTimeoutMs));
            }
        }
    }

    /** An append that a replaced leader received is committed or lost, and never acknowledged. */
    private void finish(InMemoryLogMember.Append append) {
        boolean sameLeader = append.receivedInTerm == term;
        if (sameLeader || random.nextBoolean()) {
            commit(append.entry);
        }
        if (sameLeader) {
            append.result.complete(lastIndex);
        } else {
            append.result.completeExceptionally(LogAppendException.leaderReplaced());
        }
    }

    private void applyEntries(InMemoryLogMember member) {
        if (!member.isRunning() || nowMs < member.nextApplyMs) {
            return;
        }
        member.nextApplyMs = nowMs + drawDelayMs();
        if (leader != null && reaches(leader, member) && canLead(leader)) {
            member.storedIndex = lastIndex;
        }
        if (member.appliedIndex < snapshotIndex && member.storedIndex >= snapshotIndex) {
            member.appliedIndex = snapshotIndex;
            member.stateMachine.restore(snapshotIndex, snapshot.clone());
        }
        for (Entry entry : new ArrayList<>(entries)) {
            if (entry.index() > member.appliedIndex
                    && entry.index() <= member.storedIndex
                    && member.appliedIndex >= snapshotIndex
                    && member.isRunning()) {
                member.appliedIndex = entry.index();
                member.stateMachine.apply(entry.index(), entry.bytes().clone());
            }
        }
    }

    private void takeSnapshot() {
        if (entries.size() > snapshotThreshold
                && leader != null
                && leader.isRunning()
                && leader.appliedIndex > snapshotIndex) {
            snapshot = leader.stateMachine.snapshot();
            snapshotIndex = leader.appliedIndex;
            entries.removeIf(entry -> entry.index() <= snapshotIndex);
        }
    }
}
