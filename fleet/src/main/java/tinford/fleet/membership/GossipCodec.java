package tinford.fleet.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Encodes and decodes gossip messages. A message consists of a version byte, records (the sender's
 * own first), a zero byte, and heartbeats. A heartbeat only tells at which time an incarnation was
 * alive. For the format of a record see {@link GossipRecordCodec}.
 */
public final class GossipCodec {
    /** The longest message, even if the transport allows longer ones. */
    public static final int MAX_MESSAGE_BYTES = 256;

    public static final int MAX_RECORD_BYTES = GossipRecordCodec.MAX_RECORD_BYTES;

    private static final byte VERSION = 1;
    private static final byte END_OF_RECORDS = 0;
    private static final double AGE_UNIT_MS = 2;
    private static final int MAX_AGE_UNITS = 65535;

    /** The highest age of a record that can be encoded. */
    public static final double MAX_AGE_MS = MAX_AGE_UNITS * AGE_UNIT_MS;

    /**
     * Length of a heartbeat: two bytes for the gateway, the low two bytes of the incarnation's
     * start, and three bytes for the time since that start, in units of {@link #HEARTBEAT_UNIT_MS}.
     */
    static final int HEARTBEAT_BYTES = 7;

    private static final double HEARTBEAT_UNIT_MS = 8;
    private static final int HEARTBEAT_UNITS = 1 << 24;

    private final int gateways;
    private final double maxStartAheadMs;

    /**
     * A record as received.
     *
     * @param uptimeMs time since the owner's start when it created the record, by its clock
     * @param ageMs time since its owner created it, as stated by the sender of the message
     * @param encoded the bytes received; they are forwarded unchanged, including any fields that a
     *     later version appended
     */
    public record Received(GossipRecord record, double uptimeMs, double ageMs, byte[] encoded) {}

    /**
     * A heartbeat as received.
     *
     * @param startBits the low 16 bits of the incarnation's start
     * @param uptimeUnits time from that start to when the incarnation was alive, modulo the range
     *     of three bytes
     */
    record Heartbeat(int gateway, short startBits, int uptimeUnits) {
        boolean belongsTo(Incarnation incarnation) {
            return (short) incarnation.start() == startBits;
        }

        /**
         * Time from the incarnation's start to when it was alive. The encoded time wraps around
         * after 37 hours; of the possible times, the one nearest to the expected time is returned.
         */
        double uptimeMs(double expectedUptimeMs) {
            double wraps =
                    Math.rint(
                            (expectedUptimeMs / HEARTBEAT_UNIT_MS - uptimeUnits) / HEARTBEAT_UNITS);
            return (uptimeUnits + wraps * HEARTBEAT_UNITS) * HEARTBEAT_UNIT_MS;
        }
    }

    /**
     * @param gateways number of configured gateways; records of others are rejected
     * @param maxStartAheadMs how far in the future an incarnation's start may lie
     */
    public GossipCodec(int gateways, double maxStartAheadMs) {
        this.gateways = gateways;
        this.maxStartAheadMs = maxStartAheadMs;
    }

    /**
     * Encodes a record.
     *
     * @param uptimeMs time since the start of the record's owner, by its clock
     */
    public static byte[] encode(GossipRecord record, double uptimeMs) {
        return GossipRecordCodec.encode(record, uptimeMs);
    }

    /** Returns an empty message, to which {@link #addRecord} adds records. */
    public static ByteBuffer newMessage(int maxBytes) {
        return ByteBuffer.allocate(Math.min(maxBytes, MAX_MESSAGE_BYTES)).put(VERSION);
    }

    /**
     * Adds a record with its age, rounded up to whole units.
     *
     * @return false if there is no room or the record is too old
     */
    public static boolean addRecord(ByteBuffer message, byte[] encoded, double ageMs) {
        if (encoded.length > message.remaining() || ageMs > MAX_AGE_MS) {
            return false;
        }
        int offset = message.position();
        short ageUnits = (short) Math.ceil(Math.max(0, ageMs) / AGE_UNIT_MS);
        message.put(encoded).putShort(offset + GossipRecordCodec.AGE_OFFSET, ageUnits);
        return true;
    }

    /** Marks the end of the records; heartbeats may follow. */
    static void endRecords(ByteBuffer message) {
        if (message.hasRemaining()) {
            message.put(END_OF_RECORDS);
        }
    }

    /**
     * Adds a heartbeat.
     *
     * @param uptimeMs time from its start to when it was alive; rounded down
     * @return false if there is no room
     */
    static boolean addHeartbeat(ByteBuffer message, Incarnation incarnation, double uptimeMs) {
        if (message.remaining() < HEARTBEAT_BYTES) {
            return false;
        }
        long units = (long) Math.floor(uptimeMs / HEARTBEAT_UNIT_MS);
        message.putShort((short) incarnation.gateway());
        message.putShort((short) incarnation.start());
        message.put((byte) (units >> 16)).putShort((short) units);
        return true;
    }

    public static byte[] toBytes(ByteBuffer message) {
        return Arrays.copyOf(message.array(), message.position());
    }

    /**
     * Decodes the records of a message. Never throws.
     *
     * @return the plausible records; empty if the message is truncated or of another version, or if
     *     its first record is implausible
     */
    public List<Received> readRecords(byte[] message, double nowMs) {
        if (message.length < 2 || message.length > MAX_MESSAGE_BYTES || message[0] != VERSION) {
            return List.of();
        }
        List<Received> records = new ArrayList<>();
        int offset = 1;
        while (offset < message.length && (offset == 1 || message[offset] != END_OF_RECORDS)) {
            int length = message[offset] & 255;
            if (length < GossipRecordCodec.BODY_OFFSET || offset + length > message.length) {
                return List.of();
            }
            Received received = readRecord(message, offset, length, nowMs);
            if (received != null) {
                records.add(received);
            } else if (offset == 1) {
                return List.of();
            }
            offset += length;
        }
        return records;
    }

    /** Returns null if the record is implausible. */
    private Received readRecord(byte[] message, int offset, int length, double nowMs) {
        ByteBuffer input = ByteBuffer.wrap(message);
        if (GossipRecordCodec.gateway(input, offset) >= gateways
                || GossipRecordCodec.start(input, offset) > nowMs + maxStartAheadMs) {
            return null;
        }
        byte[] encoded = Arrays.copyOfRange(message, offset, offset + length);
        GossipRecord record = GossipRecordCodec.decode(encoded);
        if (record == null) {
            return null;
        }
        int ageUnits = input.getShort(offset + GossipRecordCodec.AGE_OFFSET) & MAX_AGE_UNITS;
        double uptimeMs = GossipRecordCodec.uptimeMs(input, offset);
        return new Received(record, uptimeMs, ageUnits * AGE_UNIT_MS, encoded);
    }

    /** Decodes the heartbeats of a message whose records {@link #readRecords} accepted. */
    static List<Heartbeat> readHeartbeats(byte[] message) {
        int offset = 1;
        while (offset < message.length && message[offset] != END_OF_RECORDS) {
            offset += message[offset] & 255;
        }
        offset = Math.min(message.length, offset + 1);
        ByteBuffer input = ByteBuffer.wrap(message, offset, message.length - offset);
        List<Heartbeat> heartbeats = new ArrayList<>(input.remaining() / HEARTBEAT_BYTES);
        while (input.remaining() >= HEARTBEAT_BYTES) {
            int gateway = input.getShort() & 0xFFFF;
            short startBits = input.getShort();
            int uptimeUnits = (input.get() & 255) << 16 | input.getShort() & 0xFFFF;
            heartbeats.add(new Heartbeat(gateway, startBits, uptimeUnits));
        }
        return heartbeats;
    }
}
