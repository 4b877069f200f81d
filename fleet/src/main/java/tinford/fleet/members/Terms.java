package tinford.fleet.members;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInput;
import java.io.DataInputStream;
import java.io.DataOutput;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Who has a term, until when, by the entries of the log; the same on every member after the same
 * entries. A later life of a gateway ends no term of an earlier one: that one may be stopped, and
 * act when it wakes. It only renews no more. Holds {@link #MOST_LIVES} lives a gateway at most,
 * until nothing that they opened can be open.
 */
public final class Terms {
    /**
     * Lives of one gateway that are not surely closed; a further one has no term until one of them
     * is.
     */
    public static final int MOST_LIVES = 8;

    private static final byte RENEW = 1;
    private static final byte LEAVE = 2;
    private static final byte FORM = 1;

    private final int gateways;
    private final double longest;
    private final double apart;
    private final double linger;
    private final TreeMap<Life, Term> terms = new TreeMap<>();

    /**
     * The start of each gateway's latest life that had a term, and whether it left; outlasts the
     * term.
     */
    private final TreeMap<Integer, Long> latest = new TreeMap<>();

    private final TreeMap<Integer, Long> left = new TreeMap<>();
    private double now;
    private long refused;

    /**
     * @param gateways how many numbers there are
     * @param longest no term is longer, ms
     * @param apart clocks differ by this much at most, ms
     * @param linger until nothing is open of what a stopped process opened, ms
     */
    public Terms(int gateways, double longest, double apart, double linger) {
        this.gateways = gateways;
        this.longest = longest;
        this.apart = apart;
        this.linger = linger;
    }

    /** An entry: the life asks, at its own time, for a term of that length. */
    public static byte[] renew(Life life, double at, double length) {
        return entry(RENEW, life, at, length);
    }

    /**
     * An entry: the life has closed all that it held, and acts no more from its own time {@code at}
     * on.
     */
    public static byte[] leave(Life life, double at) {
        return entry(LEAVE, life, at, 0);
    }

    private static byte[] entry(byte kind, Life life, double at, double length) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(30);
        try {
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeByte(kind);
            out.writeByte(FORM);
            write(out, life);
            out.writeDouble(at);
            out.writeDouble(length);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Takes its own entries and no others; what can't be read of its own is counted in {@link
     * #refused} and changes nothing.
     *
     * @return whether the entry was one of these, taken or refused
     */
    public boolean apply(long index, byte[] entry) {
        if (entry.length == 0 || entry[0] != RENEW && entry[0] != LEAVE) {
            return false;
        }
        try {
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(entry));
            byte kind = in.readByte();
            byte form = in.readByte();
            Life life = readLife(in);
            double at = in.readDouble();
            double length = in.readDouble();
            boolean good =
                    form == FORM
                            && in.available() == 0
                            && at >= 0
                            && at < Double.POSITIVE_INFINITY
                            && length >= 0
                            && length <= longest
                            && life.gateway() >= 0
                            && life.gateway() < gateways;
            if (!good || !(kind == RENEW ? renewed(index, life, at, length) : left(life, at))) {
                refused++;
            }
        } catch (IOException e) {
            refused++;
        }
        return true;
    }

    private boolean renewed(long index, Life life, double at, double length) {
        seen(at);
        long last = latest.getOrDefault(life.gateway(), Long.MIN_VALUE);
        if (life.start() < last
                || left.getOrDefault(life.gateway(), Long.MIN_VALUE) >= life.start()) {
            return false;
        }
        Term old = terms.get(life);
        if (old == null && of(life.gateway()).size() >= MOST_LIVES) {
            return false;
        }
        Term term = new Term(life, at + length, index);
        // Guards against entries that come late or twice: a term never gets shorter, and none
        // begins that is over already.
        if (term.surelyOver(now, apart) || old != null && old.until() >= term.until()) {
            return false;
        }
        terms.put(life, term);
        latest.put(life.gateway(), life.start());
        return true;
    }

    private boolean left(Life life, double at) {
        seen(at);
        if (terms.remove(life) == null) {
            return false;
        }
        left.merge(life.gateway(), life.start(), Math::max);
        return true;
    }

    /** A time stamp of any entry: the log's time never falls. */
    public void seen(double at) {
        if (at > now && at < Double.POSITIVE_INFINITY) {
            now = at;
            terms.values().removeIf(t -> t.surelyClosed(now, apart, linger));
        }
    }

    /** The log's time. */
    public double now() {
        return now;
    }

    public double apart() {
        return apart;
    }

    public double linger() {
        return linger;
    }

    /**
     * The term as far as the log knows, also one that is over as long as its connections may be
     * open; else null.
     */
    public Term of(Life life) {
        return terms.get(life);
    }

    /** The lives of a gateway that are not surely closed, the earliest first. */
    public List<Life> of(int gateway) {
        Life first = new Life(gateway, Long.MIN_VALUE);
        return new ArrayList<>(
                terms.subMap(first, true, new Life(gateway, Long.MAX_VALUE), true).keySet());
    }

    /**
     * Whether the life may still act: it has a term that is not surely over. Several lives of one
     * gateway may.
     */
    public boolean mayAct(Life life) {
        Term term = terms.get(life);
        return term != null && !term.surelyOver(now, apart);
    }

    /** All lives that may still act, by gateway and start: those that a stage waits for. */
    public List<Life> mayAct() {
        List<Life> all = new ArrayList<>();
        for (Life life : terms.keySet()) {
            if (mayAct(life)) {
                all.add(life);
            }
        }
        return all;
    }

    /**
     * Whether the life is its gateway's latest and may act: only such a one is given anything new.
     */
    public boolean renews(Life life) {
        return mayAct(life) && latest.get(life.gateway()) == life.start();
    }

    /**
     * Whether nothing can be open of what it opened: it left, or its term is surely closed, or it
     * never had one.
     */
    public boolean closed(Life life) {
        return !terms.containsKey(life);
    }

    /** Entries that were its own and changed nothing. */
    public long refused() {
        return refused;
    }

    /** Part of a snapshot. */
    public void write(DataOutput out) throws IOException {
        out.writeByte(FORM);
        out.writeDouble(now);
        out.writeInt(terms.size());
        for (Term t : terms.values()) {
            write(out, t.holder());
            out.writeDouble(t.until());
            out.writeLong(t.fence());
        }
        write(out, latest);
        write(out, left);
    }

    /** In place of all that it holds. */
    public void read(DataInput in) throws IOException {
        if (in.readByte() != FORM) {
            throw new IOException(
                    "terms in the snapshot: a form that is not known, expected " + FORM);
        }
        terms.clear();
        now = in.readDouble();
        for (int n = in.readInt(); n > 0; n--) {
            Life life = readLife(in);
            terms.put(life, new Term(life, in.readDouble(), in.readLong()));
        }
        read(in, latest);
        read(in, left);
    }

    private static void write(DataOutput out, Map<Integer, Long> starts) throws IOException {
        out.writeInt(starts.size());
        for (Map.Entry<Integer, Long> e : starts.entrySet()) {
            out.writeInt(e.getKey());
            out.writeLong(e.getValue());
        }
    }

    private static void read(DataInput in, Map<Integer, Long> starts) throws IOException {
        starts.clear();
        for (int n = in.readInt(); n > 0; n--) {
            starts.put(in.readInt(), in.readLong());
        }
    }

    private static void write(DataOutput out, Life life) throws IOException {
        out.writeInt(life.gateway());
        out.writeLong(life.start());
    }

    private static Life readLife(DataInput in) throws IOException {
        return new Life(in.readInt(), in.readLong());
    }
}
