package tinford.fleet.membership;

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
 * Who has a lease, until when, by the entries of the log; the same on every member after the same
 * entries. A later incarnation of a gateway ends no lease of an earlier one: that one may be
 * stopped, and act when it wakes. It only renews no more. Holds {@link #MAX_INCARNATIONS}
 * incarnations a gateway at most, until nothing that they opened can be open.
 */
public final class LeaseTable {
    /**
     * Incarnations of one gateway that are not surely closed; a further one has no lease until one
     * of them is.
     */
    public static final int MAX_INCARNATIONS = 8;

    private static final byte RENEW = 1;
    private static final byte LEAVE = 2;
    private static final byte FORM = 1;

    private final int gateways;
    private final double longest;
    private final double apart;
    private final double linger;
    private final TreeMap<Incarnation, Lease> leases = new TreeMap<>();

    /**
     * The start of each gateway's latest incarnation that had a lease, and whether it left;
     * outlasts the lease.
     */
    private final TreeMap<Integer, Long> latest = new TreeMap<>();

    private final TreeMap<Integer, Long> left = new TreeMap<>();
    private double now;
    private long refused;

    /**
     * @param gateways how many numbers there are
     * @param longest no lease is longer, ms
     * @param apart clocks differ by this much at most, ms
     * @param linger until nothing is open of what a stopped process opened, ms
     */
    public LeaseTable(int gateways, double longest, double apart, double linger) {
        this.gateways = gateways;
        this.longest = longest;
        this.apart = apart;
        this.linger = linger;
    }

    /** An entry: the incarnation asks, at its own time, for a lease of that length. */
    public static byte[] renewalEntry(Incarnation incarnation, double at, double length) {
        return entry(RENEW, incarnation, at, length);
    }

    /**
     * An entry: the incarnation has closed all that it held, and acts no more from its own time
     * {@code at} on.
     */
    public static byte[] departureEntry(Incarnation incarnation, double at) {
        return entry(LEAVE, incarnation, at, 0);
    }

    private static byte[] entry(byte kind, Incarnation incarnation, double at, double length) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(30);
        try {
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeByte(kind);
            out.writeByte(FORM);
            write(out, incarnation);
            out.writeDouble(at);
            out.writeDouble(length);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Takes its own entries and no others; what can't be read of its own is counted in {@link
     * #rejectedEntries} and changes nothing.
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
            Incarnation incarnation = readIncarnation(in);
            double at = in.readDouble();
            double length = in.readDouble();
            boolean good =
                    form == FORM
                            && in.available() == 0
                            && at >= 0
                            && at < Double.POSITIVE_INFINITY
                            && length >= 0
                            && length <= longest
                            && incarnation.gateway() >= 0
                            && incarnation.gateway() < gateways;
            if (!good
                    || !(kind == RENEW
                            ? renewed(index, incarnation, at, length)
                            : left(incarnation, at))) {
                refused++;
            }
        } catch (IOException e) {
            refused++;
        }
        return true;
    }

    private boolean renewed(long index, Incarnation incarnation, double at, double length) {
        observeTime(at);
        long last = latest.getOrDefault(incarnation.gateway(), Long.MIN_VALUE);
        if (incarnation.start() < last
                || left.getOrDefault(incarnation.gateway(), Long.MIN_VALUE)
                        >= incarnation.start()) {
            return false;
        }
        Lease old = leases.get(incarnation);
        if (old == null && of(incarnation.gateway()).size() >= MAX_INCARNATIONS) {
            return false;
        }
        Lease lease = new Lease(incarnation, at + length, index);
        // Guards against entries that come late or twice: a lease never gets shorter, and none
        // begins that is over already.
        if (lease.isSurelyExpired(now, apart)
                || old != null && old.expiresAtMs() >= lease.expiresAtMs()) {
            return false;
        }
        leases.put(incarnation, lease);
        latest.put(incarnation.gateway(), incarnation.start());
        return true;
    }

    private boolean left(Incarnation incarnation, double at) {
        observeTime(at);
        if (leases.remove(incarnation) == null) {
            return false;
        }
        left.merge(incarnation.gateway(), incarnation.start(), Math::max);
        return true;
    }

    /** A time stamp of any entry: the log's time never falls. */
    public void observeTime(double at) {
        if (at > now && at < Double.POSITIVE_INFINITY) {
            now = at;
            leases.values().removeIf(t -> t.isSurelyClosed(now, apart, linger));
        }
    }

    /** The log's time. */
    public double logTimeMs() {
        return now;
    }

    public double maxClockSkewMs() {
        return apart;
    }

    public double lingerMs() {
        return linger;
    }

    /**
     * The lease as far as the log knows, also one that is over as long as its connections may be
     * open; else null.
     */
    public Lease of(Incarnation incarnation) {
        return leases.get(incarnation);
    }

    /** The incarnations of a gateway that are not surely closed, the earliest first. */
    public List<Incarnation> of(int gateway) {
        Incarnation first = new Incarnation(gateway, Long.MIN_VALUE);
        return new ArrayList<>(
                leases.subMap(first, true, new Incarnation(gateway, Long.MAX_VALUE), true)
                        .keySet());
    }

    /**
     * Whether the incarnation may still act: it has a lease that is not surely over. Several
     * incarnations of one gateway may.
     */
    public boolean mayAct(Incarnation incarnation) {
        Lease lease = leases.get(incarnation);
        return lease != null && !lease.isSurelyExpired(now, apart);
    }

    /** All incarnations that may still act, by gateway and start: those that a stage waits for. */
    public List<Incarnation> mayAct() {
        return notSurelyExpired(now);
    }

    /** Those whose lease was not surely over at that time of the log, by gateway and start. */
    public List<Incarnation> notSurelyExpired(double logNow) {
        List<Incarnation> all = new ArrayList<>();
        for (Lease lease : leases.values()) {
            if (!lease.isSurelyExpired(logNow, apart)) {
                all.add(lease.holder());
            }
        }
        return all;
    }

    /**
     * Whether the incarnation is its gateway's latest and may act: only such a one is given
     * anything new.
     */
    public boolean mayRenew(Incarnation incarnation) {
        return mayAct(incarnation) && latest.get(incarnation.gateway()) == incarnation.start();
    }

    /**
     * Whether nothing can be open of what it opened: it left, or its lease is surely closed, or it
     * never had one.
     */
    public boolean isClosed(Incarnation incarnation) {
        return !leases.containsKey(incarnation);
    }

    /** Entries that were its own and changed nothing. */
    public long rejectedEntries() {
        return refused;
    }

    /** Part of a snapshot. */
    public void write(DataOutput out) throws IOException {
        out.writeByte(FORM);
        out.writeDouble(now);
        out.writeInt(leases.size());
        for (Lease lease : leases.values()) {
            write(out, lease.holder());
            out.writeDouble(lease.expiresAtMs());
            out.writeLong(lease.fencingToken());
        }
        write(out, latest);
        write(out, left);
    }

    /** In place of all that it holds. */
    public void read(DataInput in) throws IOException {
        if (in.readByte() != FORM) {
            throw new IOException(
                    "leases in the snapshot: a form that is not known, expected " + FORM);
        }
        leases.clear();
        now = in.readDouble();
        for (int n = in.readInt(); n > 0; n--) {
            Incarnation incarnation = readIncarnation(in);
            leases.put(incarnation, new Lease(incarnation, in.readDouble(), in.readLong()));
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

    private static void write(DataOutput out, Incarnation incarnation) throws IOException {
        out.writeInt(incarnation.gateway());
        out.writeLong(incarnation.start());
    }

    private static Incarnation readIncarnation(DataInput in) throws IOException {
        return new Incarnation(in.readInt(), in.readLong());
    }
}
