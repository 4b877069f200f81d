package tinford.fleet.overload;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import tinford.api.Server;
import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.Membership;

/**
 * Who finds out how a server does that was put aside: the one that rendezvous hashing draws among
 * those that live, so that the tries at it do not grow with the gateways. The others leave it alone
 * until it is told well, or until its owner has said nothing for {@link #PATIENCE_MS}; then they
 * look by chance, all together ever more rarely but never less than every {@link #RAREST_MS}. What
 * one alone says of a server that works here counts for nothing; two must say so. A server told
 * well that is not costs a try a gateway, each time after twice the wait. Memory: one note for each
 * of {@link #MOST} servers at most, dropped {@link #FORGET_MS} after they were last told of.
 */
public final class ProbeOwners {
    private static final int MOST = 2048;
    private static final double PATIENCE_MS =
            6000; // the decisions' longest bar of 4 s, and the time that records take
    // all that are not the owner together, at first; then half of the time since it was put aside
    private static final double SOON_MS = 4000;
    private static final double RAREST_MS = 30_000;
    private static final double RETURN_MS =
            300; // those who return to a server told well spread over so long
    private static final double TRUSTED_MS = 2000; // own good news that outweigh what others say
    private static final double FORGET_MS = 120_000;

    /** What is known of one server, by this gateway and by the others. */
    private static final class Note {
        final int server;
        boolean ill, toldIll;
        int owner;
        long ownerIn = -1;
        double foundAt = Double.NEGATIVE_INFINITY,
                heardAt = foundAt,
                wellAt = foundAt,
                ownerAt = foundAt,
                touchedAt;
        double backAt, distrust = 250, since, waited, due;

        Note(int server) {
            this.server = server;
        }
    }

    private final Random chance;
    private final Map<Integer, Note> notes = new LinkedHashMap<>();
    private Membership membership;
    private Incarnation own;
    private double now;
    private int turn;
    private long rounds;

    public ProbeOwners(Random chance) {
        this.chance = chance;
    }

    /** Its name in the records. */
    public static int nameOf(Server srv) {
        return mix(srv.id.hashCode());
    }

    /**
     * Among those that live: the same for all that know the same, and moving only what its owner
     * lost.
     */
    static int owner(int server, Membership membership) {
        int best = -1, most = 0;
        for (int g : membership.aliveGateways()) {
            int drawn = mix(server * 31 + mix(g)) >>> 1;
            if (membership.isAlive(g) && (best < 0 || drawn > most)) {
                best = g;
                most = drawn;
            }
        }
        return best;
    }

    public void round(double at, Incarnation self, Membership heard) {
        double passed = Math.max(0, Math.min(at - now, 1000));
        now = at;
        own = self;
        membership = heard;
        rounds++;
        Map<Integer, List<Integer>> sayIll = new LinkedHashMap<>();
        for (GossipRecord s : heard.freshRecords()) {
            if (s.incarnation.gateway() == self.gateway()) continue;
            for (GossipRecord.ServerHealth told : s.serverHealth) {
                Note n = note(told.serverHash());
                if (n == null) continue;
                n.touchedAt = now;
                double
                        age =
                                told.agoMs() >= 0 && told.agoMs() < FORGET_MS
                                        ? told.agoMs()
                                        : FORGET_MS,
                        when = now - age;
                boolean owns = ownerOf(n) == s.incarnation.gateway();
                if (owns && when > n.ownerAt) n.ownerAt = when;
                if (told.unhealthy()) {
                    if (age < PATIENCE_MS)
                        sayIll.computeIfAbsent(n.server, k -> new ArrayList<>())
                                .add(s.incarnation.gateway());
                    if (owns) n.heardAt = Math.max(n.heardAt, when);
                } else if ((n.ill || n.toldIll)
                        && when > Math.max(n.foundAt + n.distrust, n.heardAt)
                        && when > n.wellAt + 100) {
                    n.wellAt = when;
                    n.backAt = now + RETURN_MS * chance.nextDouble();
                }
            }
        }
        for (Note n : notes.values()) {
            boolean told = now - Math.max(n.ownerAt, n.foundAt) < PATIENCE_MS;
            double gap =
                    told ? RAREST_MS : Math.max(SOON_MS, Math.min(RAREST_MS, (now - n.since) / 2));
            n.waited += passed / gap / heard.aliveCount();
            // two say so, and later one is enough: when all leave it alone, its owner alone has
            // news of it
            n.toldIll =
                    sayIll.getOrDefault(n.server, List.of()).size() >= (n.toldIll ? 1 : 2)
                            && n.wellAt <= n.heardAt;
        }
        notes.values().removeIf(n -> now - n.touchedAt > FORGET_MS);
    }

    /**
     * A finding of this gateway itself; that a server is well matters only where somebody said
     * otherwise.
     */
    public void found(Server srv, boolean ill) {
        Note n = ill ? note(nameOf(srv)) : notes.get(nameOf(srv));
        if (n == null) return;
        if (ill && n.wellAt > n.foundAt && now - n.wellAt < PATIENCE_MS)
            n.distrust = Math.min(2 * n.distrust, RAREST_MS);
        if (ill && !n.ill) draw(n, now);
        if (!ill) n.distrust = 250;
        n.ill = ill;
        n.foundAt = n.touchedAt = now;
    }

    /** It was tried: the next look is drawn anew. */
    public void tried(Server srv) {
        Note n = notes.get(nameOf(srv));
        if (n != null && n.waited >= n.due) draw(n, n.since);
    }

    /**
     * Whether this gateway may send to it: well as far as known, told well again, its own to look
     * after, or due for a rare look.
     */
    public boolean looksAfter(Server srv) {
        Note n = notes.get(nameOf(srv));
        if (n == null || membership == null || membership.aliveCount() <= 1) return true;
        boolean leave =
                n.ill
                        ? !(n.wellAt > n.foundAt && now >= n.backAt)
                        : (n.toldIll || now < n.backAt) && now - n.foundAt > TRUSTED_MS;
        if (!leave || ownerOf(n) == own.gateway()) return true;
        return n.waited >= n.due;
    }

    /** Into the own record, the latest findings in turn where they do not all fit. */
    public void tell(GossipRecord s) {
        List<Note> found = new ArrayList<>();
        for (Note n : notes.values()) {
            if (now - n.foundAt < (n.ill ? FORGET_MS : PATIENCE_MS)) found.add(n);
        }
        for (int i = 0; i < Math.min(GossipRecord.MAX_SERVERS, found.size()); i++) {
            Note n = found.get(Math.floorMod(turn + i, found.size()));
            s.serverHealth.add(new GossipRecord.ServerHealth(n.server, n.ill, now - n.foundAt));
        }
        turn = found.size() > GossipRecord.MAX_SERVERS ? turn + GossipRecord.MAX_SERVERS : 0;
    }

    /** Drawn once a round: it costs a hash a gateway. */
    private int ownerOf(Note n) {
        if (n.ownerIn != rounds) n.owner = owner(n.server, membership);
        n.ownerIn = rounds;
        return n.owner;
    }

    // each looks at times of its own, on average once in as many gaps as gateways live: all
    // together once a gap
    private void draw(Note n, double since) {
        n.since = since;
        n.waited = 0;
        n.due = -Math.log(1 - chance.nextDouble());
    }

    private Note note(int server) {
        Note is = notes.get(server);
        if (is != null || notes.size() >= MOST) return is;
        Note made = new Note(server);
        made.touchedAt = now;
        draw(made, now);
        notes.put(server, made);
        return made;
    }

    private static int mix(int x) {
        x = (x ^ x >>> 16) * 0x7feb352d;
        x = (x ^ x >>> 15) * 0x846ca68b;
        return x ^ x >>> 16;
    }
}
