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
 * The leases of all incarnations, by the entries of the log; the same on every member after the
 * same entries. A later incarnation of a gateway does not end the lease of an earlier one, which
 * may be suspended and act when it resumes; the earlier one just can't renew. Holds {@link
 * #MAX_INCARNATIONS} incarnations of a gateway at most, until nothing that they opened can be open.
 * Times are in ms of the log, which is the latest time stamp of its entries.
 */
public final class LeaseTable {
    /**
     * Incarnations of one gateway that are not surely closed. A further one gets no lease until one
     * of them is.
     */
    public static final int MAX_INCARNATIONS = 8;

    private static final byte RENEWAL = 1;
    private static final byte DEPARTURE = 2;
    private static final byte FORMAT_VERSION = 1;
    private static final int ENTRY_BYTES = 30;

    private final int gateways;
    private final double maxLeaseMs;
    private final double maxClockSkewMs;
    private final double lingerMs;
    private final TreeMap<Incarnation, Lease> leases = new TreeMap<>();

    /** Start of the latest incarnation of each gateway that had a lease; outlasts the lease. */
    private final TreeMap<Integer, Long> latestStarts = new TreeMap<>();

    /** Start of the latest incarnation of each gateway that has left; outlasts the lease. */
    private final TreeMap<Integer, Long> departedStarts = new TreeMap<>();

    private double logTimeMs;
    private long rejectedEntries;

    /**
     * @param gateways number of gateways
     * @param maxLeaseMs length of the longest lease
     * @param maxClockSkewMs by which clocks differ at most
     * @param lingerMs until no connection is open that a stopped process had opened
     */
    public LeaseTable(int gateways, double maxLeaseMs, double maxClockSkewMs, double lingerMs) {
        this.gateways = gateways;
        this.maxLeaseMs = maxLeaseMs;
        this.maxClockSkewMs = maxClockSkewMs;
        this.lingerMs = lingerMs;
    }

    /** Encodes an entry: the incarnation requests, at its own time, a lease of a length. */
    public static byte[] renewalEntry(Incarnation incarnation, double atMs, double lengthMs) {
        return encode(RENEWAL, incarnation, atMs, lengthMs);
    }

    /**
     * Encodes an entry: the incarnation has closed all connections, and acts no more from its own
     * time {@code atMs} on.
     */
    public static byte[] departureEntry(Incarnation incarnation, double atMs) {
        return encode(DEPARTURE, incarnation, atMs, 0);
    }

    private static byte[] encode(byte kind, Incarnation incarnation, double atMs, double lengthMs) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(ENTRY_BYTES);
        try (DataOutputStream output = new DataOutputStream(bytes)) {
            output.writeByte(kind);
            output.writeByte(FORMAT_VERSION);
            write(output, incarnation);
            output.writeDouble(atMs);
            output.writeDouble(lengthMs);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** An entry of leases. */
    private record Entry(
            byte kind, byte version, Incarnation incarnation, double atMs, double lengthMs) {
        /** Returns null where the entry has not exactly the length of one. */
        static Entry decode(byte[] bytes) throws IOException {
            if (bytes.length != ENTRY_BYTES) {
                return null;
            }
            DataInputStream input = new DataInputStream(new ByteArrayInputStream(bytes));
            return new Entry(
                    input.readByte(),
                    input.readByte(),
                    readIncarnation(input),
                    input.readDouble(),
                    input.readDouble());
        }
    }

    /**
     * Applies an entry of leases, and no others. One that is malformed or not due changes nothing
     * and is counted by {@link #rejectedEntries}.
     *
     * @return whether the entry was one of leases, accepted or not
     */
    public boolean apply(long index, byte[] bytes) {
        if (bytes.length == 0 || bytes[0] != RENEWAL && bytes[0] != DEPARTURE) {
            return false;
        }
        try {
            Entry entry = Entry.decode(bytes);
            if (entry == null || !isValid(entry) || !apply(index, entry)) {
                rejectedEntries++;
            }
        } catch (IOException e) {
            rejectedEntries++;
        }
        return true;
    }

    private boolean isValid(Entry entry) {
        return entry.version == FORMAT_VERSION
                && entry.atMs >= 0
                && entry.atMs < Double.POSITIVE_INFINITY
                && entry.lengthMs >= 0
                && entry.lengthMs <= maxLeaseMs
                && entry.incarnation.gateway() >= 0
                && entry.incarnation.gateway() < gateways;
    }

    private boolean apply(long index, Entry entry) {
        return entry.kind == RENEWAL
                ? renew(index, entry.incarnation, entry.atMs, entry.lengthMs)
                : depart(entry.incarnation, entry.atMs);
    }

    private boolean renew(long index, Incarnation incarnation, double atMs, double lengthMs) {
        observeTime(atMs);
        if (isSuperseded(incarnation) || hasDeparted(incarnation)) {
            return false;
        }
        Lease previous = leases.get(incarnation);
        if (previous == null && of(incarnation.gateway()).size() >= MAX_INCARNATIONS) {
            return false;
        }
        Lease lease = new Lease(incarnation, atMs + lengthMs, index);
        // entries may come late or twice: no lease gets shorter, and none begins that has expired
        if (lease.isSurelyExpired(logTimeMs, maxClockSkewMs)
                || previous != null && previous.expiresAtMs() >= lease.expiresAtMs()) {
            return false;
        }
        leases.put(incarnation, lease);
        latestStarts.put(incarnation.gateway(), incarnation.start());
        return true;
    }

    private boolean isSuperseded(Incarnation incarnation) {
        return incarnation.start()
                < latestStarts.getOrDefault(incarnation.gateway(), Long.MIN_VALUE);
    }

    private boolean hasDeparted(Incarnation incarnation) {
        return incarnation.start()
                <= departedStarts.getOrDefault(incarnation.gateway(), Long.MIN_VALUE);
    }

    private boolean depart(Incarnation incarnation, double atMs) {
        observeTime(atMs);
        if (leases.remove(incarnation) == null) {
            return false;
        }
        departedStarts.merge(incarnation.gateway(), incarnation.start(), Math::max);
        return true;
    }

    /** Advances the log's time by the time stamp of any entry; it never goes back. */
    public void observeTime(double atMs) {
        if (atMs > logTimeMs && atMs < Double.POSITIVE_INFINITY) {
            logTimeMs = atMs;
            leases.values()
                    .removeIf(lease -> lease.isSurelyClosed(logTimeMs, maxClockSkewMs, lingerMs));
        }
    }

    /** The log's time. */
    public double logTimeMs() {
        return logTimeMs;
    }

    public double maxClockSkewMs() {
        return maxClockSkewMs;
    }

    public double lingerMs() {
        return lingerMs;
    }

    /**
     * The incarnation's lease, also an expired one while its connections may be open; null where
     * there is none.
     */
    public Lease of(Incarnation incarnation) {
        return leases.get(incarnation);
    }

    /** The incarnations of a gateway that are not surely closed, the earliest first. */
    public List<Incarnation> of(int gateway) {
        Incarnation first = new Incarnation(gateway, Long.MIN_VALUE);
        Incarnation last = new Incarnation(gateway, Long.MAX_VALUE);
        return new ArrayList<>(leases.subMap(first, true, last, true).keySet());
    }

    /**
     * Whether the incarnation may still act, as its lease is not surely expired. Several
     * incarnations of one gateway may.
     */
    public boolean mayAct(Incarnation incarnation) {
        Lease lease = leases.get(incarnation);
        return lease != null && !lease.isSurelyExpired(logTimeMs, maxClockSkewMs);
    }

    /** All incarnations that may still act, by gateway and start. */
    public List<Incarnation> mayAct() {
        return notSurelyExpired(logTimeMs);
    }

    /** Those whose lease was not surely expired at a time of the log, by gateway and start. */
    public List<Incarnation> notSurelyExpired(double atLogTimeMs) {
        List<Incarnation> holders = new ArrayList<>();
        for (Lease lease : leases.values()) {
            if (!lease.isSurelyExpired(atLogTimeMs, maxClockSkewMs)) {
                holders.add(lease.holder());
            }
        }
        return holders;
    }

    /**
     * Whether the incarnation may act and is its gateway's latest; only such a one is granted
     * anything new.
     */
    public boolean mayRenew(Incarnation incarnation) {
        return mayAct(incarnation)
                && latestStarts.get(incarnation.gateway()) == incarnation.start();
    }

    /**
     * Whether no connection can be open that the incarnation opened: it has left, or its lease is
     * surely closed, or it never had one.
     */
    public boolean isClosed(Incarnation incarnation) {
        return !leases.containsKey(incarnation);
    }

    /** Number of entries of leases that changed nothing. */
    public long rejectedEntries() {
        return rejectedEntries;
    }

    /** Writes the table as a part of a snapshot. */
    public void write(DataOutput output) throws IOException {
        output.writeByte(FORMAT_VERSION);
        output.writeDouble(logTimeMs);
        output.writeInt(leases.size());
        for (Lease lease : leases.values()) {
            write(output, lease.holder());
            output.writeDouble(lease.expiresAtMs());
            output.writeLong(lease.fencingToken());
        }
        write(output, latestStarts);
        write(output, departedStarts);
    }

    /**
     * Replaces the table by a part of a snapshot.
     *
     * @throws IOException the part is torn or of an unknown format
     */
    public void read(DataInput input) throws IOException {
        if (input.readByte() != FORMAT_VERSION) {
            throw new IOException(
                    "leases in the snapshot: a form that is not known, expected " + FORMAT_VERSION);
        }
        leases.clear();
        logTimeMs = input.readDouble();
        for (int remaining = input.readInt(); remaining > 0; remaining--) {
            Incarnation incarnation = readIncarnation(input);
            leases.put(incarnation, new Lease(incarnation, input.readDouble(), input.readLong()));
        }
        read(input, latestStarts);
        read(input, departedStarts);
    }

    private static void write(DataOutput output, Map<Integer, Long> starts) throws IOException {
        output.writeInt(starts.size());
        for (Map.Entry<Integer, Long> entry : starts.entrySet()) {
            output.writeInt(entry.getKey());
            output.writeLong(entry.getValue());
        }
    }

    private static void read(DataInput input, Map<Integer, Long> starts) throws IOException {
        starts.clear();
        for (int remaining = input.readInt(); remaining > 0; remaining--) {
            starts.put(input.readInt(), input.readLong());
        }
    }

    private static void write(DataOutput output, Incarnation incarnation) throws IOException {
        output.writeInt(incarnation.gateway());
        output.writeLong(incarnation.start());
    }

    private static Incarnation readIncarnation(DataInput input) throws IOException {
        return new Incarnation(input.readInt(), input.readLong());
    }
}
