package tinford.fleet.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes gossip messages.
 *
 * <p>A message: a version byte; records, the sender's own first; a byte 0, and heartbeats, which
 * say only that one lived, and when. Rates take one byte each on a log scale, ten steps an octave
 * from 1/64 to 635 000, zero by itself: 3.5 % off at most. A record has 31 bytes, one for each
 * class that is used and a bit (61 with all classes used), one more for each class that was sent in
 * part, five for each server named, and twelve where something was ceded, whose total is exact to
 * seven digits: 127 at most.
 */
public final class GossipCodec {
    /** The longest message, whatever the transport bears. */
    public static final int MAX_MESSAGE_BYTES = 256;

    public static final int MAX_RECORD_BYTES = 127;
    private static final byte VERSION = 1;

    /** From a record's beginning: length, gateway, start, seq, made, age, body. */
    private static final int GATEWAY = 1;

    private static final int START = 3;
    private static final int SEQ = 9;
    private static final int MADE = 13;
    private static final int AGE = 18;
    private static final int BODY = 20;
    private static final double AGE_UNIT = 2;

    /** The greatest age that can be told, ms. */
    public static final double MAX_AGE_MS = 65535 * AGE_UNIT;

    private static final int RATES = 9;
    private static final int CEDED = 12;

    /**
     * Bytes of a heartbeat: gateway, the start's low bits, and when it lived, in {@link
     * #HEARTBEAT_UNIT} ms since its start, three bytes.
     */
    static final int HEARTBEAT_BYTES = 7;

    private static final double HEARTBEAT_UNIT = 8;
    private static final int HEARTBEAT_UNITS = 1 << 24;
    private static final int STEPS = 10;
    private static final double LEAST = 1.0 / 64;
    private static final double[] VALUES = new double[256];

    static {
        for (int i = 1; i < 256; i++) {
            VALUES[i] = LEAST * Math.pow(2, (i - 1.0) / STEPS);
        }
    }

    private final int gateways;
    private final double maxStartAhead;

    /**
     * A record as told.
     *
     * @param madeAtMs on its owner's clock, ms since its start
     * @param ageMs ms since its owner made it, as the teller counts
     * @param encoded as it came, for telling it on, with what a later version put at its end
     */
    public record Received(GossipRecord record, double madeAtMs, double ageMs, byte[] encoded) {}

    /**
     * @param maxStartAhead by how many ms a start may lie in the future
     */
    public GossipCodec(int gateways, double maxStartAhead) {
        this.gateways = gateways;
        this.maxStartAhead = maxStartAhead;
    }

    static int code(double rate) {
        if (!(rate > 0)) {
            return 0;
        }
        return (int)
                Math.max(
                        1,
                        Math.min(
                                255, Math.round(Math.log(rate / LEAST) / Math.log(2) * STEPS) + 1));
    }

    static double value(int code) {
        return VALUES[code & 255];
    }

    public static byte[] encode(GossipRecord s, double made) {
        ByteBuffer b = ByteBuffer.allocate(MAX_RECORD_BYTES);
        b.put((byte) 0).putShort((short) s.incarnation.gateway());
        long start = s.incarnation.start();
        b.putShort((short) (start >> 32)).putInt((int) start).putInt(s.sequence);
        long ms = (long) Math.max(0, made);
        b.put((byte) (ms >> 32)).putInt((int) ms).putShort((short) 0);
        for (double rate :
                new double[] {
                    s.firstAttempts,
                    s.retries,
                    s.onTime,
                    s.late,
                    s.failed,
                    s.onTimeUnits,
                    s.inFlight,
                    s.queued,
                    s.capacity
                }) {
            b.put((byte) code(rate));
        }
        classes(s, b);
        int n = Math.min(s.serverHealth.size(), GossipRecord.MAX_SERVERS);
        b.put((byte) n);
        for (GossipRecord.ServerHealth health : s.serverHealth.subList(0, n)) {
            long ago =
                    Math.max(
                            0,
                            Math.min(
                                    127,
                                    Math.round(
                                            8
                                                    * Math.log(Math.max(health.agoMs(), 1))
                                                    / Math.log(2))));
            b.putInt(health.serverHash()).put((byte) (ago | (health.unhealthy() ? 128 : 0)));
        }
        if (s.retriesCededTo != null) {
            long to = s.retriesCededTo.start();
            b.putShort((short) s.retriesCededTo.gateway())
                    .putShort((short) (to >> 32))
                    .putInt((int) to)
                    .putFloat((float) s.retriesCeded);
        }
        b.put(0, (byte) b.position());
        return java.util.Arrays.copyOf(b.array(), b.position());
    }

    /**
     * How many classes; two bits each: 0 not used, 1 all sent, 2 none sent, 3 both rates; then the
     * rates.
     */
    private static void classes(GossipRecord s, ByteBuffer b) {
        int n = GossipRecord.PRIORITY_CLASSES;
        while (n > 0 && code(s.offeredUnits[n - 1]) == 0 && code(s.admittedUnits[n - 1]) == 0) {
            n--;
        }
        b.put((byte) n);
        int kinds = b.position();
        b.position(kinds + (n + 3) / 4);
        for (int c = 0; c < n; c++) {
            int asked = code(s.offeredUnits[c]);
            int sent = code(s.admittedUnits[c]);
            int kind = asked == 0 && sent == 0 ? 0 : asked == sent ? 1 : sent == 0 ? 2 : 3;
            int at = kinds + c / 4;
            b.put(at, (byte) (b.get(at) | kind << 2 * (c % 4)));
            if (kind != 0) {
                b.put((byte) asked);
            }
            if (kind == 3) {
                b.put((byte) sent);
            }
        }
    }

    /** An empty message to be filled by {@link #addRecord}. */
    public static ByteBuffer newMessage(int most) {
        return ByteBuffer.allocate(Math.min(most, MAX_MESSAGE_BYTES)).put(VERSION);
    }

    /** Whether there was room; the age is rounded up. */
    public static boolean addRecord(ByteBuffer message, byte[] raw, double age) {
        if (raw.length > message.remaining() || age > MAX_AGE_MS) {
            return false;
        }
        int at = message.position();
        message.put(raw).putShort(at + AGE, (short) Math.ceil(Math.max(0, age) / AGE_UNIT));
        return true;
    }

    /** Ends the records; what follows are heartbeats. */
    static void endRecords(ByteBuffer message) {
        if (message.hasRemaining()) {
            message.put((byte) 0);
        }
    }

    /** Whether there was room. When it lived is rounded down. */
    static boolean addHeartbeat(ByteBuffer message, Incarnation incarnation, double lived) {
        if (message.remaining() < HEARTBEAT_BYTES) {
            return false;
        }
        long unit = (long) Math.floor(lived / HEARTBEAT_UNIT);
        message.putShort((short) incarnation.gateway())
                .putShort((short) incarnation.start())
                .put((byte) (unit >> 16))
                .putShort((short) unit);
        return true;
    }

    /**
     * Ms since the start: of those that the three bytes may mean (they come round after 37 hours)
     * the nearest to what is expected.
     */
    static double unwrap(int unit, double expected) {
        return (unit
                        + Math.rint((expected / HEARTBEAT_UNIT - unit) / HEARTBEAT_UNITS)
                                * HEARTBEAT_UNITS)
                * HEARTBEAT_UNIT;
    }

    /** The heartbeats of a message that {@link #read} took. */
    static ByteBuffer heartbeats(byte[] message) {
        int at = 1;
        while (at < message.length && message[at] != 0) {
            at += message[at] & 255;
        }
        at = Math.min(message.length, at + 1);
        return ByteBuffer.wrap(message, at, message.length - at);
    }

    public static byte[] toBytes(ByteBuffer message) {
        return java.util.Arrays.copyOf(message.array(), message.position());
    }

    /**
     * The records of a message; none where the message is of another version, torn, or its first
     * record absurd. Of the others those that are absurd are left out. Never throws.
     */
    public List<Received> read(byte[] message, double now) {
        if (message.length < 2 || message.length > MAX_MESSAGE_BYTES || message[0] != VERSION) {
            return List.of();
        }
        ByteBuffer b = ByteBuffer.wrap(message);
        List<Received> read = new ArrayList<>(6);
        for (int at = 1; at < message.length && (at == 1 || message[at] != 0); ) {
            int length = message[at] & 255;
            if (length < BODY || at + length > message.length) {
                return List.of();
            }
            GossipRecord record = isPlausible(b, at, now) ? decode(b, at, at + length) : null;
            if (record != null) {
                double made =
                        (message[at + MADE] & 255L) * (1L << 32)
                                + (b.getInt(at + MADE + 1) & 0xFFFFFFFFL);
                double age = (b.getShort(at + AGE) & 0xFFFF) * AGE_UNIT;
                read.add(
                        new Received(
                                record,
                                made,
                                age,
                                java.util.Arrays.copyOfRange(message, at, at + length)));
            } else if (at == 1) {
                return List.of();
            }
            at += length;
        }
        return read;
    }

    /** A record that {@link #read} took. */
    static GossipRecord decode(byte[] raw) {
        return decode(ByteBuffer.wrap(raw), 0, raw.length);
    }

    private static long start(ByteBuffer b, int at) {
        return (b.getShort(at + START) & 0xFFFFL) << 32 | b.getInt(at + START + 2) & 0xFFFFFFFFL;
    }

    private boolean isPlausible(ByteBuffer b, int at, double now) {
        return (b.getShort(at + GATEWAY) & 0xFFFF) < gateways
                && start(b, at) <= now + maxStartAhead;
    }

    /** Null where the record's fields don't fit into its length, or count beyond what there is. */
    private static GossipRecord decode(ByteBuffer b, int at, int end) {
        int p = at + BODY;
        if (p + RATES + 1 > end) {
            return null;
        }
        GossipRecord s =
                new GossipRecord(
                        new Incarnation(b.getShort(at + GATEWAY) & 0xFFFF, start(b, at)),
                        b.getInt(at + SEQ));
        s.firstAttempts = value(b.get(p++));
        s.retries = value(b.get(p++));
        s.onTime = value(b.get(p++));
        s.late = value(b.get(p++));
        s.failed = value(b.get(p++));
        s.onTimeUnits = value(b.get(p++));
        s.inFlight = value(b.get(p++));
        s.queued = value(b.get(p++));
        s.capacity = value(b.get(p++));
        int n = b.get(p++) & 255;
        int kinds = p;
        p += (n + 3) / 4;
        if (n > GossipRecord.PRIORITY_CLASSES || p > end) {
            return null;
        }
        for (int c = 0; c < n; c++) {
            int kind = b.get(kinds + c / 4) >> 2 * (c % 4) & 3;
            if (p + (kind == 3 ? 2 : kind == 0 ? 0 : 1) > end) {
                return null;
            }
            if (kind != 0) {
                s.offeredUnits[c] = value(b.get(p++));
                s.admittedUnits[c] =
                        kind == 1 ? s.offeredUnits[c] : kind == 2 ? 0 : value(b.get(p++));
            }
        }
        int servers = p < end ? b.get(p++) & 255 : GossipRecord.MAX_SERVERS + 1;
        if (servers > GossipRecord.MAX_SERVERS || p + 5 * servers > end) {
            return null;
        }
        for (int i = 0; i < servers; i++, p += 5) {
            int how = b.get(p + 4) & 255;
            s.serverHealth.add(
                    new GossipRecord.ServerHealth(
                            b.getInt(p), how >= 128, Math.pow(2, (how & 127) / 8.0)));
        }
        if (p + CEDED <= end) {
            s.retriesCededTo =
                    new Incarnation(
                            b.getShort(p) & 0xFFFF,
                            (b.getShort(p + 2) & 0xFFFFL) << 32 | b.getInt(p + 4) & 0xFFFFFFFFL);
            float total = b.getFloat(p + 8);
            s.retriesCeded = total >= 0 && total < Float.POSITIVE_INFINITY ? total : 0;
        }
        return s;
    }
}
