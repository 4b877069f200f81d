package tinford.fleet.membership;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Encodes and decodes a gossip record. The first byte is the length; all rates are encoded by
 * {@link RateScale}. A record takes 31 bytes, plus one byte and two bits for each priority class in
 * use (61 bytes with all classes), one byte more for each class that was admitted in part, five
 * bytes for each server, and twelve bytes if retries were ceded, whose total is exact to seven
 * digits. This is 127 bytes at most.
 */
final class GossipRecordCodec {
    static final int MAX_RECORD_BYTES = 127;

    /** Offset from the start of the record, as all offsets below. */
    static final int UPTIME_OFFSET = 13;

    static final int AGE_OFFSET = 18;
    static final int BODY_OFFSET = 20;
    private static final int GATEWAY_OFFSET = 1;
    private static final int START_OFFSET = 3;
    private static final int SEQUENCE_OFFSET = 9;

    private static final int RATE_BYTES = 9;
    private static final int SERVER_BYTES = 5;
    private static final int CEDED_BYTES = 12;
    private static final int AGE_STEPS_PER_OCTAVE = 8;
    private static final int MAX_AGE_CODE = 127;
    private static final int UNHEALTHY_BIT = 128;

    /** Two bits for each priority class encode which of its rates follow; see {@link #kind}. */
    private static final int UNUSED = 0;

    private static final int ALL_ADMITTED = 1;
    private static final int NONE_ADMITTED = 2;
    private static final int BOTH_RATES = 3;
    private static final int CLASSES_PER_BYTE = 4;

    private GossipRecordCodec() {}

    /**
     * @param uptimeMs time since the start of the record's owner, by its clock
     */
    static byte[] encode(GossipRecord record, double uptimeMs) {
        ByteBuffer output = ByteBuffer.allocate(MAX_RECORD_BYTES);
        output.put((byte) 0);
        output.putShort((short) record.incarnation.gateway());
        writeStart(output, record.incarnation.start());
        output.putInt(record.sequence);
        long uptime = (long) Math.max(0, uptimeMs);
        output.put((byte) (uptime >> 32)).putInt((int) uptime);
        output.putShort((short) 0);
        writeRates(output, record);
        writeClasses(output, record);
        writeServers(output, record);
        writeCededRetries(output, record);
        output.put(0, (byte) output.position());
        return Arrays.copyOf(output.array(), output.position());
    }

    private static void writeStart(ByteBuffer output, long start) {
        output.putShort((short) (start >> 32)).putInt((int) start);
    }

    private static void writeRate(ByteBuffer output, double rate) {
        output.put((byte) RateScale.encode(rate));
    }

    private static void writeRates(ByteBuffer output, GossipRecord record) {
        writeRate(output, record.firstAttempts);
        writeRate(output, record.retries);
        writeRate(output, record.onTime);
        writeRate(output, record.late);
        writeRate(output, record.failed);
        writeRate(output, record.onTimeUnits);
        writeRate(output, record.inFlight);
        writeRate(output, record.queued);
        writeRate(output, record.capacity);
    }

    /** Writes the number of classes, their kinds, and the rates that each kind requires. */
    private static void writeClasses(ByteBuffer output, GossipRecord record) {
        int classes = usedClasses(record);
        output.put((byte) classes);
        int kindsOffset = output.position();
        output.position(kindsOffset + kindBytes(classes));
        for (int c = 0; c < classes; c++) {
            int offered = RateScale.encode(record.offeredUnits[c]);
            int admitted = RateScale.encode(record.admittedUnits[c]);
            int kind = kind(offered, admitted);
            int offset = kindsOffset + c / CLASSES_PER_BYTE;
            output.put(offset, (byte) (output.get(offset) | kind << shift(c)));
            if (kind != UNUSED) {
                output.put((byte) offered);
            }
            if (kind == BOTH_RATES) {
                output.put((byte) admitted);
            }
        }
    }

    private static int usedClasses(GossipRecord record) {
        int classes = GossipRecord.PRIORITY_CLASSES;
        while (classes > 0
                && RateScale.encode(record.offeredUnits[classes - 1]) == 0
                && RateScale.encode(record.admittedUnits[classes - 1]) == 0) {
            classes--;
        }
        return classes;
    }

    private static int kindBytes(int classes) {
        return (classes + CLASSES_PER_BYTE - 1) / CLASSES_PER_BYTE;
    }

    private static int shift(int priorityClass) {
        return 2 * (priorityClass % CLASSES_PER_BYTE);
    }

    private static int kind(int offered, int admitted) {
        if (offered == 0 && admitted == 0) {
            return UNUSED;
        }
        if (offered == admitted) {
            return ALL_ADMITTED;
        }
        return admitted == 0 ? NONE_ADMITTED : BOTH_RATES;
    }

    private static void writeServers(ByteBuffer output, GossipRecord record) {
        int servers = Math.min(record.serverHealth.size(), GossipRecord.MAX_SERVERS);
        output.put((byte) servers);
        for (GossipRecord.ServerHealth health : record.serverHealth.subList(0, servers)) {
            int unhealthyBit = health.unhealthy() ? UNHEALTHY_BIT : 0;
            output.putInt(health.serverHash());
            output.put((byte) (ageCode(health.ageMs()) | unhealthyBit));
        }
    }

    private static long ageCode(double ageMs) {
        long code = Math.round(AGE_STEPS_PER_OCTAVE * Math.log(Math.max(ageMs, 1)) / Math.log(2));
        return Math.max(0, Math.min(MAX_AGE_CODE, code));
    }

    private static void writeCededRetries(ByteBuffer output, GossipRecord record) {
        Incarnation receiver = record.retriesCededTo;
        if (receiver != null) {
            output.putShort((short) receiver.gateway());
            writeStart(output, receiver.start());
            output.putFloat((float) record.retriesCeded);
        }
    }

    static int gateway(ByteBuffer input, int recordOffset) {
        return input.getShort(recordOffset + GATEWAY_OFFSET) & 0xFFFF;
    }

    static long start(ByteBuffer input, int recordOffset) {
        return start(
                input.getShort(recordOffset + START_OFFSET),
                input.getInt(recordOffset + START_OFFSET + Short.BYTES));
    }

    private static long start(short high, int low) {
        return (high & 0xFFFFL) << 32 | low & 0xFFFFFFFFL;
    }

    /** When the owner created the record, in ms since the owner's start by its own clock. */
    static double uptimeMs(ByteBuffer input, int recordOffset) {
        long high = input.get(recordOffset + UPTIME_OFFSET) & 255L;
        long low = input.getInt(recordOffset + UPTIME_OFFSET + 1) & 0xFFFFFFFFL;
        return high * (1L << 32) + low;
    }

    /** Returns null if the fields exceed the length of the record, or a count is too high. */
    static GossipRecord decode(byte[] encoded) {
        ByteBuffer input = ByteBuffer.wrap(encoded);
        GossipRecord record =
                new GossipRecord(
                        new Incarnation(gateway(input, 0), start(input, 0)),
                        input.getInt(SEQUENCE_OFFSET));
        input.position(BODY_OFFSET);
        if (input.remaining() < RATE_BYTES + 1) {
            return null;
        }
        readRates(input, record);
        if (!readClasses(input, record) || !readServers(input, record)) {
            return null;
        }
        readCededRetries(input, record);
        return record;
    }

    private static double readRate(ByteBuffer input) {
        return RateScale.decode(input.get());
    }

    private static void readRates(ByteBuffer input, GossipRecord record) {
        record.firstAttempts = readRate(input);
        record.retries = readRate(input);
        record.onTime = readRate(input);
        record.late = readRate(input);
        record.failed = readRate(input);
        record.onTimeUnits = readRate(input);
        record.inFlight = readRate(input);
        record.queued = readRate(input);
        record.capacity = readRate(input);
    }

    private static boolean readClasses(ByteBuffer input, GossipRecord record) {
        int classes = input.get() & 255;
        int kindsOffset = input.position();
        if (classes > GossipRecord.PRIORITY_CLASSES || input.remaining() < kindBytes(classes)) {
            return false;
        }
        input.position(kindsOffset + kindBytes(classes));
        for (int c = 0; c < classes; c++) {
            int kind = input.get(kindsOffset + c / CLASSES_PER_BYTE) >> shift(c) & 3;
            if (input.remaining() < rateBytes(kind)) {
                return false;
            }
            readClass(input, record, c, kind);
        }
        return true;
    }

    private static int rateBytes(int kind) {
        return switch (kind) {
            case UNUSED -> 0;
            case BOTH_RATES -> 2;
            default -> 1;
        };
    }

    private static void readClass(
            ByteBuffer input, GossipRecord record, int priorityClass, int kind) {
        if (kind == UNUSED) {
            return;
        }
        double offered = readRate(input);
        record.offeredUnits[priorityClass] = offered;
        record.admittedUnits[priorityClass] =
                switch (kind) {
                    case ALL_ADMITTED -> offered;
                    case NONE_ADMITTED -> 0;
                    default -> readRate(input);
                };
    }

    private static boolean readServers(ByteBuffer input, GossipRecord record) {
        if (!input.hasRemaining()) {
            return false;
        }
        int servers = input.get() & 255;
        if (servers > GossipRecord.MAX_SERVERS || input.remaining() < SERVER_BYTES * servers) {
            return false;
        }
        for (int i = 0; i < servers; i++) {
            int serverHash = input.getInt();
            int code = input.get() & 255;
            double ageMs = Math.pow(2, (code & MAX_AGE_CODE) / (double) AGE_STEPS_PER_OCTAVE);
            record.serverHealth.add(
                    new GossipRecord.ServerHealth(serverHash, code >= UNHEALTHY_BIT, ageMs));
        }
        return true;
    }

    /** Reads the optional field; any fields that a later version appended are ignored. */
    private static void readCededRetries(ByteBuffer input, GossipRecord record) {
        if (input.remaining() < CEDED_BYTES) {
            return;
        }
        int gateway = input.getShort() & 0xFFFF;
        record.retriesCededTo = new Incarnation(gateway, start(input.getShort(), input.getInt()));
        float total = input.getFloat();
        record.retriesCeded = total >= 0 && total < Float.POSITIVE_INFINITY ? total : 0;
    }
}
