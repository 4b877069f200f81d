package tinford.fleet.budgets;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tinford.fleet.members.Incarnation;
import tinford.fleet.members.Lease;
import tinford.fleet.members.Leases;
import tinford.fleet.store.Log;

/**
 * Who was granted what at which server, by the entries of the log; the same on every member. A
 * grant is taken only where all that is granted, may be held or lingers fits in the offer less its
 * static part: here alone that promise is kept, whoever proposes. Bounds: {@link #MOST_SERVERS}
 * servers, {@link #MOST_ASKED} accounts an incarnation, incarnations as {@link Leases} has.
 */
public class Ledger implements Log.Reader {
    public static final int MOST_SERVERS = 4096;
    public static final int MOST_ASKED = 4096;
    static final byte TELL = 16;
    static final byte GRANT = 17;
    static final byte OFFER = 18;
    private static final byte FORM = 1;
    private static final int MOST_COUNT = 1 << 24;

    /** What one incarnation has at one server. */
    static final class Cell {
        int granted;

        /** At least what is granted: what it may still hold of earlier grants. */
        int may;

        /**
         * Index of the last entry that made it less, and the log's time from which the holder
         * surely has no more than is granted.
         */
        long shrunk;

        double free;

        /** Index of the last entry that granted. */
        long fencingToken;
    }

    /** A server by its number here. */
    static final class Server {
        final String name;
        long start;
        int offer;

        /** All cells' {@code may} together. */
        int held;

        Server(String name) {
            this.name = name;
        }
    }

    /** All of one incarnation. */
    static final class Holder {
        final TreeMap<Integer, Cell> cells = new TreeMap<>();
        final TreeMap<Long, Integer> asked = new TreeMap<>();
        final TreeMap<Long, Integer> uses = new TreeMap<>();
        double told;
    }

    final Leases leases;
    final StaticShares staticShares;
    final List<Server> servers = new ArrayList<>();
    final TreeMap<Incarnation, Holder> holders = new TreeMap<>();
    private final Map<String, Integer> numbers = new LinkedHashMap<>();
    private double nextFree = Double.POSITIVE_INFINITY;
    private long last;
    private long lastGrant;
    private long unknown;
    private long unread;
    private long stale;
    private long over;
    private long grants;

    public Ledger(Leases leases, StaticShares staticShares) {
        this.leases = leases;
        this.staticShares = staticShares;
    }

    /**
     * Entry of one incarnation: what it wants by account where that changed (0: nothing more), and
     * what it holds beyond its static share at servers where it was granted more before, with the
     * last index that it had read.
     */
    public static byte[] tell(
            Incarnation incarnation,
            double at,
            long seen,
            Map<Long, Integer> wanted,
            Map<Integer, Integer> held) {
        return entry(
                TELL,
                out -> {
                    VarInts.put(out, incarnation);
                    out.writeDouble(at);
                    VarInts.put(out, seen);
                    VarInts.put(out, wanted.size());
                    for (Map.Entry<Long, Integer> e : wanted.entrySet()) {
                        VarInts.put(out, e.getKey());
                        VarInts.put(out, e.getValue());
                    }
                    VarInts.put(out, held.size());
                    for (Map.Entry<Integer, Integer> e : held.entrySet()) {
                        VarInts.put(out, e.getKey());
                        VarInts.put(out, e.getValue());
                    }
                });
    }

    /**
     * Entry: what a server offers the fleet from now on. A later {@code start} is another server
     * under the same address: what was granted stays granted, as a holder may open it there.
     */
    public static byte[] offer(String server, long start, int offer, double at) {
        return entry(
                OFFER,
                out -> {
                    out.writeUTF(server);
                    VarInts.put(out, start);
                    VarInts.put(out, offer);
                    out.writeDouble(at);
                });
    }

    /**
     * One line of a grant: from now on the incarnation has that many, at a server or for an
     * account.
     */
    record Line(Incarnation incarnation, long what, int count) {}

    /**
     * Entry of whoever leads. Lines that make less come first.
     *
     * @param basis last index that the proposal knew; it is void where another grant came since
     */
    static byte[] grant(long basis, double at, List<Line> atServers, List<Line> forAccounts) {
        return entry(
                GRANT,
                out -> {
                    VarInts.put(out, basis);
                    out.writeDouble(at);
                    lines(out, atServers);
                    lines(out, forAccounts);
                });
    }

    private static void lines(DataOutputStream out, List<Line> lines) throws IOException {
        VarInts.put(out, lines.size());
        for (Line l : lines) {
            VarInts.put(out, l.incarnation);
            VarInts.put(out, l.what);
            VarInts.put(out, l.count);
        }
    }

    private interface Body {
        void write(DataOutputStream out) throws IOException;
    }

    private static byte[] entry(byte kind, Body body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
        try {
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeByte(kind);
            out.writeByte(FORM);
            body.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    @Override
    public void apply(long index, byte[] entry) {
        if (index <= last) {
            return;
        }
        last = index;
        if (!leases.apply(index, entry)) {
            take(index, entry);
        }
        sweep();
    }

    private void take(long index, byte[] entry) {
        if (entry.length < 2 || entry[0] < TELL || entry[0] > OFFER || entry[1] != FORM) {
            unknown++;
            return;
        }
        try {
            DataInputStream in =
                    new DataInputStream(new ByteArrayInputStream(entry, 2, entry.length - 2));
            switch (entry[0]) {
                case TELL -> told(in);
                case GRANT -> granted(index, in);
                default -> offered(in);
            }
        } catch (IOException e) {
            unread++;
        }
    }

    private double at(DataInputStream in) throws IOException {
        double at = in.readDouble();
        if (!(at >= 0 && at < Double.POSITIVE_INFINITY)) {
            throw new IOException("a time: " + at + ", expected ms from 0");
        }
        return at;
    }

    private void told(DataInputStream in) throws IOException {
        Incarnation incarnation = VarInts.incarnation(in);
        double at = at(in);
        long seen = VarInts.take(in);
        Map<Long, Integer> wanted = new LinkedHashMap<>();
        for (int n = VarInts.count(in, MOST_ASKED); n > 0; n--) {
            wanted.put(VarInts.take(in), VarInts.count(in, MOST_COUNT));
        }
        Map<Integer, Integer> held = new LinkedHashMap<>();
        for (int n = VarInts.count(in, MOST_SERVERS); n > 0; n--) {
            held.put(VarInts.count(in, MOST_SERVERS), VarInts.count(in, MOST_COUNT));
        }
        leases.seen(at);
        if (leases.closed(incarnation)) {
            stale++;
            return;
        }
        Holder h = holders.computeIfAbsent(incarnation, l -> new Holder());
        // What is let go is safe to take late; what is wanted is not.
        for (Map.Entry<Integer, Integer> e : held.entrySet()) {
            Cell c = h.cells.get(e.getKey());
            if (c != null && seen >= c.shrunk && c.may > c.granted) {
                may(e.getKey(), c, Math.min(c.may, Math.max(c.granted, e.getValue())));
            }
        }
        if (at <= h.told) {
            stale++;
            return;
        }
        h.told = at;
        for (Map.Entry<Long, Integer> e : wanted.entrySet()) {
            if (e.getValue() == 0) {
                h.asked.remove(e.getKey());
            } else if (h.asked.size() < MOST_ASKED || h.asked.containsKey(e.getKey())) {
                h.asked.put(e.getKey(), e.getValue());
            }
        }
    }

    private void offered(DataInputStream in) throws IOException {
        String name = in.readUTF();
        long start = VarInts.take(in);
        int offer = VarInts.count(in, MOST_COUNT);
        leases.seen(at(in));
        Integer n = numbers.get(name);
        if (n == null) {
            if (servers.size() >= MOST_SERVERS) {
                stale++;
                return;
            }
            n = servers.size();
            numbers.put(name, n);
            servers.add(new Server(name));
        }
        Server s = servers.get(n);
        if (start < s.start) {
            stale++;
            return;
        }
        s.start = start;
        s.offer = offer;
    }

    private void granted(long index, DataInputStream in) throws IOException {
        long basis = VarInts.take(in);
        double at = at(in);
        List<Line> atServers = lines(in);
        List<Line> forAccounts = lines(in);
        leases.seen(at);
        sweep();
        if (basis < lastGrant || basis >= index) {
            stale++;
            return;
        }
        lastGrant = index;
        for (Line l : atServers) {
            cell(index, l);
        }
        for (Line l : forAccounts) {
            Holder h = holders.get(l.incarnation);
            if (h == null || !leases.renews(l.incarnation)) {
                stale++;
            } else if (l.count == 0) {
                h.uses.remove(l.what);
            } else if (h.uses.size() < MOST_ASKED || h.uses.containsKey(l.what)) {
                h.uses.put(l.what, l.count);
            }
        }
    }

    private static List<Line> lines(DataInputStream in) throws IOException {
        List<Line> lines = new ArrayList<>();
        for (int n = VarInts.count(in, MOST_COUNT); n > 0; n--) {
            lines.add(
                    new Line(
                            VarInts.incarnation(in),
                            VarInts.take(in),
                            VarInts.count(in, MOST_COUNT)));
        }
        return lines;
    }

    private void cell(long index, Line l) {
        Holder h = holders.get(l.incarnation);
        if (h == null || l.what < 0 || l.what >= servers.size()) {
            stale++;
            return;
        }
        int number = (int) l.what;
        Cell c = h.cells.computeIfAbsent(number, k -> new Cell());
        if (l.count > c.may && !fits(l.incarnation, number, l.count - c.may)) {
            over++;
            return;
        }
        if (l.count > c.granted && !leases.renews(l.incarnation)) {
            stale++;
            return;
        }
        if (l.count < c.granted) {
            c.shrunk = index;
            Lease lease = leases.of(l.incarnation);
            c.free = lease == null ? leases.now() : free(lease);
            nextFree = Math.min(nextFree, c.free);
        }
        c.granted = l.count;
        c.fencingToken = index;
        may(number, c, Math.max(c.may, l.count));
        grants++;
    }

    /** Whether so many more fit beside all that may be held: the promise "never over". */
    boolean fits(Incarnation incarnation, int server, int more) {
        return servers.get(server).held + more <= pool(server);
    }

    /**
     * When the holder surely has let go of what it was told to, though it was never heard of again.
     */
    double free(Lease lease) {
        return lease.until() + leases.apart() + leases.linger();
    }

    private void may(int number, Cell c, int may) {
        servers.get(number).held += may - c.may;
        c.may = may;
    }

    private void sweep() {
        for (Iterator<Map.Entry<Incarnation, Holder>> it = holders.entrySet().iterator();
                it.hasNext(); ) {
            Map.Entry<Incarnation, Holder> e = it.next();
            if (gone(e.getKey())) {
                e.getValue().cells.forEach((n, c) -> may(n, c, 0));
                it.remove();
            }
        }
        if (leases.now() < nextFree) {
            return;
        }
        nextFree = Double.POSITIVE_INFINITY;
        for (Holder h : holders.values()) {
            h.cells.forEach(
                    (n, c) -> {
                        if (c.may > c.granted && leases.now() >= c.free) {
                            may(n, c, c.granted);
                        } else if (c.may > c.granted) {
                            nextFree = Math.min(nextFree, c.free);
                        }
                    });
            h.cells.values().removeIf(c -> c.may == 0);
        }
    }

    /** Whether nothing that the incarnation was granted can be open. */
    boolean gone(Incarnation incarnation) {
        return leases.closed(incarnation);
    }

    /** What can be granted at a server in all. */
    int pool(int server) {
        Server s = servers.get(server);
        return s.offer - staticShares.sum(s.name);
    }

    /** Its number in this log, or -1. */
    public int number(String server) {
        return numbers.getOrDefault(server, -1);
    }

    /** The last index applied. */
    public long last() {
        return last;
    }

    public Leases leases() {
        return leases;
    }

    /** Entries of kinds or forms that it does not know: each one skipped whole. */
    public long unknown() {
        return unknown;
    }

    /** Entries that could not be read to their end. */
    public long unread() {
        return unread;
    }

    /** Entries and lines that came too late to count. */
    public long stale() {
        return stale;
    }

    /** Lines refused because the offer would have been exceeded. */
    public long over() {
        return over;
    }

    /** Lines taken at servers. */
    public long grants() {
        return grants;
    }

    /** All that may be held at a server beyond the static part. */
    public int held(int server) {
        return servers.get(server).held;
    }

    /** What one incarnation is granted at a server. */
    public int granted(Incarnation incarnation, int server) {
        Holder h = holders.get(incarnation);
        Cell c = h == null ? null : h.cells.get(server);
        return c == null ? 0 : c.granted;
    }

    /** For an account through one incarnation. */
    public int uses(Incarnation incarnation, long account) {
        Holder h = holders.get(incarnation);
        return h == null ? 0 : h.uses.getOrDefault(account, 0);
    }

    @Override
    public byte[] snapshot() {
        return entry(
                FORM,
                out -> {
                    leases.write(out);
                    VarInts.put(out, last);
                    VarInts.put(out, lastGrant);
                    VarInts.put(out, servers.size());
                    for (Server s : servers) {
                        out.writeUTF(s.name);
                        VarInts.put(out, s.start);
                        VarInts.put(out, s.offer);
                    }
                    VarInts.put(out, holders.size());
                    for (Map.Entry<Incarnation, Holder> e : holders.entrySet()) {
                        Holder h = e.getValue();
                        VarInts.put(out, e.getKey());
                        out.writeDouble(h.told);
                        // Cells with nothing go at a time that a snapshot does not carry: they are
                        // left out, so that all members' are the same.
                        List<Map.Entry<Integer, Cell>> cells =
                                h.cells.entrySet().stream()
                                        .filter(c -> c.getValue().may > 0)
                                        .toList();
                        VarInts.put(out, cells.size());
                        for (Map.Entry<Integer, Cell> c : cells) {
                            VarInts.put(out, c.getKey());
                            VarInts.put(out, c.getValue().granted);
                            VarInts.put(out, c.getValue().may);
                            VarInts.put(out, c.getValue().shrunk);
                            out.writeDouble(c.getValue().free);
                            VarInts.put(out, c.getValue().fencingToken);
                        }
                        counts(out, h.asked);
                        counts(out, h.uses);
                    }
                });
    }

    private static void counts(DataOutputStream out, Map<Long, Integer> counts) throws IOException {
        VarInts.put(out, counts.size());
        for (Map.Entry<Long, Integer> e : counts.entrySet()) {
            VarInts.put(out, e.getKey());
            VarInts.put(out, e.getValue());
        }
    }

    @Override
    public void restore(long index, byte[] snapshot) {
        try {
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(snapshot));
            if (in.readByte() != FORM || in.readByte() != FORM) {
                throw new IOException("a snapshot of a form that is not known, expected " + FORM);
            }
            leases.read(in);
            last = Math.max(index, VarInts.take(in));
            lastGrant = VarInts.take(in);
            servers.clear();
            numbers.clear();
            for (int n = VarInts.count(in, MOST_SERVERS); n > 0; n--) {
                Server s = new Server(in.readUTF());
                s.start = VarInts.take(in);
                s.offer = VarInts.count(in, MOST_COUNT);
                numbers.put(s.name, servers.size());
                servers.add(s);
            }
            holders.clear();
            for (int n = VarInts.count(in, MOST_COUNT); n > 0; n--) {
                holders.put(VarInts.incarnation(in), holder(in));
            }
            nextFree = 0;
            sweep();
        } catch (IOException e) {
            // What is restored came from a majority; nothing else can stand in for it.
            throw new UncheckedIOException(e);
        }
    }

    private Holder holder(DataInputStream in) throws IOException {
        Holder h = new Holder();
        h.told = in.readDouble();
        for (int n = VarInts.count(in, MOST_SERVERS); n > 0; n--) {
            int number = VarInts.count(in, servers.size() - 1);
            Cell c = new Cell();
            c.granted = VarInts.count(in, MOST_COUNT);
            may(number, c, VarInts.count(in, MOST_COUNT));
            c.shrunk = VarInts.take(in);
            c.free = in.readDouble();
            c.fencingToken = VarInts.take(in);
            h.cells.put(number, c);
        }
        for (TreeMap<Long, Integer> counts : List.of(h.asked, h.uses)) {
            for (int n = VarInts.count(in, MOST_ASKED); n > 0; n--) {
                counts.put(VarInts.take(in), VarInts.count(in, MOST_COUNT));
            }
        }
        return h;
    }

    /** The incarnations that may be given something, by gateway. */
    List<Incarnation> givable() {
        List<Incarnation> incarnations = new ArrayList<>();
        for (Incarnation incarnation : holders.keySet()) {
            if (leases.renews(incarnation)) {
                incarnations.add(incarnation);
            }
        }
        return Collections.unmodifiableList(incarnations);
    }
}
