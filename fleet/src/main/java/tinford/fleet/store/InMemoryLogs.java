package tinford.fleet.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * The logs of all members in one place, for tests and the lab: they come to what a consensus comes
 * to, but are none. One thread, driven by {@link #advance}; chance is handed in. Bounds: {@code
 * inFlight} appends a member; entries since the last snapshot.
 */
public final class InMemoryLogs {
    /** An append under way. */
    private static final class Offer {
        private final byte[] entry;
        private final CompletableFuture<Long> told = new CompletableFuture<>();
        private final double until;
        private double due;

        /** In which term a leader took it; 0 while none has. */
        private long taken;

        Offer(byte[] entry, double due, double until) {
            this.entry = entry;
            this.due = due;
            this.until = until;
        }
    }

    /** An entry that a majority has. */
    private record Entry(long index, byte[] bytes) {}

    private final class Member {
        private final int number;
        private final List<Offer> offers = new ArrayList<>();
        private ReplicatedLog.Reader reader;
        private int life;

        /** Up to which index its disk has the entries, and the reader knows them. */
        private long has;

        private long knows;
        private double appliesAt;
        private long term;
        private boolean leads;

        Member(int number) {
            this.number = number;
        }

        private void fail(String why) {
            List<Offer> all = new ArrayList<>(offers);
            offers.clear();
            all.forEach(each -> each.told.completeExceptionally(new IOException("log: " + why)));
        }

        CompletableFuture<Long> offer(byte[] entry) {
            if (offers.size() >= inFlight) {
                return CompletableFuture.failedFuture(
                        new IOException("log: " + inFlight + " appends wait already"));
            }
            Offer made = new Offer(entry.clone(), now + delay(), now + appendMs);
            offers.add(made);
            return made.told;
        }

        void close() {
            reader = null;
            leads = false;
            fail("closed");
        }
    }

    /** The member as one life of it sees it: after a stop this handle is closed for good. */
    private final class Handle implements ReplicatedLog {
        private final Member member;
        private final int life;

        Handle(Member member) {
            this.member = member;
            this.life = member.life;
        }

        private boolean open() {
            return member.life == life && member.reader != null;
        }

        @Override
        public CompletableFuture<Long> append(byte[] entry) {
            return open()
                    ? member.offer(entry)
                    : CompletableFuture.failedFuture(new IOException("log: closed"));
        }

        @Override
        public boolean leads() {
            return open() && member.leads;
        }

        @Override
        public long term() {
            return member.term;
        }

        @Override
        public void close() {
            if (open()) {
                member.close();
            }
        }
    }

    private final List<Member> members = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final TreeSet<Integer> cuts = new TreeSet<>();
    private final RandomGenerator chance;
    private final double delayMs;
    private final double silenceMs;
    private final double appendMs;
    private final int inFlight;
    private final int snapshotEntries;
    private double now;
    private Member leader;
    private double heardAt;
    private long term;
    private long last;
    private long base;
    private byte[] snapshot = new byte[0];

    /**
     * @param size members, numbered from 1
     */
    public InMemoryLogs(
            int size,
            double delayMs,
            double silenceMs,
            double appendMs,
            int inFlight,
            int snapshotEntries,
            RandomGenerator chance) {
        for (int i = 1; i <= size; i++) {
            members.add(new Member(i));
        }
        this.delayMs = delayMs;
        this.silenceMs = silenceMs;
        this.appendMs = appendMs;
        this.inFlight = inFlight;
        this.snapshotEntries = snapshotEntries;
        this.chance = chance;
    }

    private double delay() {
        return delayMs * chance.nextDouble();
    }

    private Member member(int number) {
        return members.get(number - 1);
    }

    /** Starts a member's life, with what its disk has. */
    public ReplicatedLog open(int number, ReplicatedLog.Reader reader) {
        Member member = member(number);
        if (member.reader != null) {
            throw new IllegalStateException("member " + number + " runs already");
        }
        member.life++;
        member.reader = reader;
        member.knows = 0;
        return new Handle(member);
    }

    /** As a kill: nothing is told to the reader. */
    public void stop(int number) {
        member(number).close();
    }

    /** Of a member that is stopped. */
    public void loseDisk(int number) {
        member(number).has = 0;
    }

    /** Both ways, until healed. */
    public void cut(int a, int b) {
        cuts.add(Math.min(a, b) * 1000 + Math.max(a, b));
    }

    public void heal() {
        cuts.clear();
    }

    private boolean reaches(Member a, Member b) {
        return a.reader != null
                && b.reader != null
                && (a == b
                        || !cuts.contains(
                                Math.min(a.number, b.number) * 1000
                                        + Math.max(a.number, b.number)));
    }

    /** Whether a majority answers it, and one of them has all that was committed. */
    private boolean canLead(Member candidate) {
        int reached = 0;
        long most = -1;
        for (Member each : members) {
            if (reaches(candidate, each)) {
                reached++;
                most = Math.max(most, each.has);
            }
        }
        return 2 * reached > members.size() && most >= last;
    }

    /** Time goes on; entries are committed, handed to readers and acknowledged within this call. */
    public void advance(double to) {
        now = Math.max(now, to);
        elect();
        for (Member each : members) {
            commit(each);
        }
        for (Member each : members) {
            apply(each);
        }
        trim();
    }

    private void elect() {
        if (leader != null && canLead(leader)) {
            heardAt = now;
            members.stream()
                    .filter(each -> reaches(leader, each))
                    .forEach(
                            each -> {
                                each.term = term;
                                each.leads = each == leader;
                            });
            return;
        }
        if (now - heardAt < silenceMs) {
            return;
        }
        Member old = leader;
        leader = members.stream().filter(this::canLead).findFirst().orElse(null);
        if (leader != null) {
            term++;
            last++; // a new leader writes an entry of its own
            heardAt = now;
            spread(null);
        }
        // one that was cut off believes for as long again that it leads
        if (old != null && old != leader && now - heardAt >= 2 * silenceMs) {
            old.leads = false;
        }
    }

    /** To all that the leader reaches. */
    private void spread(byte[] entry) {
        if (entry != null) {
            entries.add(new Entry(++last, entry));
        }
        for (Member each : members) {
            if (reaches(leader, each)) {
                each.has = last;
                each.term = term;
                each.leads = each == leader;
            }
        }
    }

    private void commit(Member from) {
        for (Offer each : new ArrayList<>(from.offers)) {
            boolean can = leader != null && canLead(leader) && reaches(leader, from);
            if (each.due <= now && can && each.taken == 0) {
                each.taken = term;
                each.due = now + delay();
            } else if (each.due <= now && each.taken != 0 && can) {
                from.offers.remove(each);
                boolean same = each.taken == term;
                // taken by a leader that was replaced: it may have come to the next one or not, and
                // nobody says so
                if (same || chance.nextBoolean()) {
                    spread(each.entry);
                }
                if (same) {
                    each.told.complete(last);
                } else {
                    each.told.completeExceptionally(new IOException("log: leader replaced"));
                }
            } else if (now >= each.until) {
                from.offers.remove(each);
                each.told.completeExceptionally(
                        new IOException("log: not within " + appendMs + " ms"));
            }
        }
    }

    private void apply(Member to) {
        if (to.reader == null || now < to.appliesAt) {
            return;
        }
        to.appliesAt = now + delay();
        if (leader != null && reaches(leader, to) && canLead(leader)) {
            to.has = last;
        }
        if (to.knows < base && to.has >= base) {
            to.knows = base;
            to.reader.restore(base, snapshot.clone());
        }
        for (Entry each : new ArrayList<>(entries)) {
            if (each.index() > to.knows
                    && each.index() <= to.has
                    && to.knows >= base
                    && to.reader != null) {
                to.knows = each.index();
                to.reader.apply(each.index(), each.bytes().clone());
            }
        }
    }

    private void trim() {
        if (entries.size() > snapshotEntries
                && leader != null
                && leader.reader != null
                && leader.knows > base) {
            snapshot = leader.reader.snapshot();
            base = leader.knows;
            entries.removeIf(each -> each.index() <= base);
        }
    }
}
