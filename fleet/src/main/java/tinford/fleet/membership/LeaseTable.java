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
 * The leases of all incarnations: a state machine driven by the entries of the replicated log, so
 * that it is the same on every member after the same entries.
 *
 * <p>A later incarnation of a gateway does not end the lease of an earlier one, because the process
 * of the earlier one may be suspended and use its lease when it resumes. The earlier incarnation
 * can no longer renew its lease, however. An incarnation is kept until all connections that it
 * opened are certain to be closed; at most {@link #MAX_INCARNATIONS} of each gateway are kept.
 *
 * <p>Times are in ms. The time of the log is the latest time stamp of its entries.
 */
public final class LeaseTable {
    /**
     * How many incarnations of one gateway are kept. A further one gets no lease until the
     * connections of one of them are certain to be closed.
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

    /**
     * Start of the latest incarnation of each gateway that was granted a lease; kept after the
     * lease ends.
     */
    private final TreeMap<Integer, Long> latestStarts = new TreeMap<>();

    /**
     * Start of the latest incarnation of each gateway that left the fleet; kept after the lease
     * ends.
     */
    private final TreeMap<Integer, Long> departedStarts = new TreeMap<>();

    private double logTimeMs;
    private long rejectedEntries;

    /**
     * @param gateways number of configured gateways
     * @param maxLeaseMs length of the longest lease
     * @param maxClockSkewMs the largest difference between the clocks of two members
     * @param lingerMs time after which no connection of a stopped process is open any more
     */
    public LeaseTable(int gateways, double maxLeaseMs, double maxClockSkewMs, double lingerMs) {
        this.gateways = gateways;
        this.maxLeaseMs = maxLeaseMs;
        this.maxClockSkewMs = maxClockSkewMs;
        this.lingerMs = lingerMs;
    }

    /**
     * Encodes a log entry by which an incarnation requests or renews its lease.
     *
     * @param atMs current time by the incarnation's clock
     * @param lengthMs length of the lease
     */
    public static byte[] renewalEntry(Incarnation incarnation, double atMs, double lengthMs) {
        return encode(RENEWAL, incarnation, atMs, lengthMs);
    }

    /**
     * Encodes a log entry by which an incarnation gives up its lease: it has closed all its
     * connections and does not use the lease after {@code atMs} by its own clock.
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

    /** A decoded log entry about a lease. */
    private record Entry(
            byte kind, byte version, Incarnation incarnation, double atMs, double lengthMs) {
        /** Returns null if the length is not exactly that of an entry. */
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
     * Applies a log entry if it is about a lease. One that is malformed or not applicable changes
     * nothing and is counted by {@link #rejectedEntries}.
     *
     * @param index index of the entry in the log
     * @return whether the entry is about a lease, accepted or not
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
        // entries may be delayed or duplicated: no lease is shortened or granted after its expiry
        if (lease.isDefinitelyExpired(logTimeMs, maxClockSkewMs)
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

    /** Advances the time of the log to the time stamp of an entry; it never goes back. */
    public void observeTime(double atMs) {
        if (atMs > logTimeMs && atMs < Double.POSITIVE_INFINITY) {
            logTimeMs = atMs;
            leases.values()
                    .removeIf(
                            lease ->
                                    lease.areConnectionsClosed(
                                            logTimeMs, maxClockSkewMs, lingerMs));
        }
    }

    /** The time of the log: the latest time stamp of its entries. */
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
     * The lease of an incarnation, including an expired one whose holder may still have open
     * connections; null if there is none.
     */
    public Lease of(Incarnation incarnation) {
        return leases.get(incarnation);
    }

    /** The incarnations of a gateway that may still have open connections, earliest first. */
    public List<Incarnation> of(int gateway) {
        Incarnation first = new Incarnation(gateway, Long.MIN_VALUE);
        Incarnation last = new Incarnation(gateway, Long.MAX_VALUE);
        return new ArrayList<>(leases.subMap(first, true, last, true).keySet());
    }

    /**
     * Whether an incarnation may still be using its lease, because the lease has not certainly
     * expired by the holder's clock. Several incarnations of one gateway may.
     */
    public boolean mayAct(Incarnation incarnation) {
        Lease lease = leases.get(incarnation);
        return lease != null && !lease.isDefinitelyExpired(logTimeMs, maxClockSkewMs);
    }

    /** All incarnations that may still be using their leases, ordered by gateway and start. */
    public List<Incarnation> mayAct() {
        return possibleHoldersAt(logTimeMs);
    }

    /**
     * The incarnations that may still have been using their leases at a time of the log, ordered by
     * gateway and start.
     */
    public List<Incarnation> possibleHoldersAt(double atLogTimeMs) {
        List<Incarnation> holders = new ArrayList<>();
        for (Lease lease : leases.values()) {
            if (!lease.isDefinitelyExpired(atLogTimeMs, maxClockSkewMs)) {
                holders.add(lease.holder());
            }
        }
        return holders;
    }

    /**
     * Whether an incarnation may still be using its lease and is the latest of its gateway. Only
     * such an incarnation is granted anything new.
     */
    public boolean mayRenew(Incarnation incarnation) {
        return mayAct(incarnation)
                && latestStarts.get(incarnation.gateway()) == incarnation.start();
    }

    /**
     * Whether all connections that an incarnation opened are certain to be closed: it left the
     * fleet, its lease expired long enough ago, or it never had a lease.
     */
    public boolean isClosed(Incarnation incarnation) {
        return !leases.containsKey(incarnation);
    }

    /** Number of entries about leases that were rejected and changed nothing. */
    public long rejectedEntries() {
        return rejectedEntries;
    }

    /** Writes the table as one section of a snapshot. */
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
     * Replaces the table by the section of a snapshot.
     *
     * @throws IOException if the section is truncated or of an unknown format
     */
    public void read(DataInput input) throws IOException {
        if (input.readByte() != FORMAT_VERSION) {
            throw new IOException("snapshot, leases: expected format version " + FORMAT_VERSION);
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
