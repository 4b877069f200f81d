package tinford.fleet.migration;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import tinford.fleet.membership.Incarnation;

/**
 * An entry of the log about migrations, of at most 64 KiB. The encoded form is a magic byte, the
 * format version, the kind, the proposer's time stamp, and the fields. A field that the kind
 * doesn't use is zero or empty.
 *
 * @param timestampMs by the proposer's wall clock, Unix ms
 * @param epoch that an acknowledgement, step or report belongs to; for {@code RESUME} the number of
 *     the halt to lift
 * @param targetStep for {@code GO}: the index of the proposed step
 * @param operator for an operator's command: the operator's name
 * @param outcomeCounts for {@code REPORT}: for each frontend the number of answers and of failures
 *     of the source group, then of the target group
 * @param warmUnits for {@code GO}: the warm capacity of each target group, in order of the groups'
 *     names, in units per second
 * @param plan for {@code BEGIN}, else null
 */
public record MigrationEntry(
        Kind kind,
        double timestampMs,
        Incarnation incarnation,
        long epoch,
        int targetStep,
        String operator,
        long[] outcomeCounts,
        double[] warmUnits,
        MigrationPlan plan) {
    /** Kinds of entries. Their ordinals are written to the log, so their order must not change. */
    public enum Kind {
        /** An operator begins a plan. */
        BEGIN,
        /** A gateway acknowledges that it acts on the current step. */
        ACK,
        /** The leader proposes the next step. */
        GO,
        /** A gateway reports the outcomes of its attempts. */
        REPORT,
        /** An operator halts the migration. */
        HALT,
        /** An operator lifts a halt. */
        RESUME,
        /** An operator reverts the migration. */
        BACK
    }

    public static final int VERSION = 1;

    /** First byte of each entry; other entries in the same log begin with other bytes. */
    public static final int MAGIC_BYTE = 'M';

    private static final int MAX_ENTRY_BYTES = 64 << 10;
    private static final int HEADER_BYTES = 3;
    private static final int MAX_OPERATOR_LENGTH = 64;
    private static final int COUNTS_PER_FRONTEND = 4;
    private static final Incarnation NO_INCARNATION = new Incarnation(0, 0);
    private static final long[] NO_COUNTS = {};
    private static final double[] NO_UNITS = {};

    /** The bytes are not an entry, or one of an unknown version or kind. */
    static final class UnreadableEntryException extends Exception {
        private static final long serialVersionUID = 1L;

        UnreadableEntryException(String message) {
            super(message, null, false, false);
        }
    }

    /** Returns the entry by which an operator begins a plan. */
    public static MigrationEntry begin(String operator, double timestampMs, MigrationPlan plan) {
        return new MigrationEntry(
                Kind.BEGIN, timestampMs, NO_INCARNATION, 0, 0, operator, NO_COUNTS, NO_UNITS, plan);
    }

    /** Returns the entry by which an incarnation acknowledges the step of an epoch. */
    public static MigrationEntry ack(Incarnation incarnation, long epoch, double timestampMs) {
        return new MigrationEntry(
                Kind.ACK, timestampMs, incarnation, epoch, 0, "", NO_COUNTS, NO_UNITS, null);
    }

    /**
     * Returns the entry by which the leader proposes a step.
     *
     * @param warmUnits warm capacity of each target group, in order of the groups' names, in units
     *     per second
     */
    public static MigrationEntry proposeStep(
            double timestampMs, long epoch, int targetStep, double... warmUnits) {
        return new MigrationEntry(
                Kind.GO,
                timestampMs,
                NO_INCARNATION,
                epoch,
                targetStep,
                "",
                NO_COUNTS,
                warmUnits,
                null);
    }

    /** Returns the entry by which an incarnation reports the outcomes counted in an epoch. */
    public static MigrationEntry report(
            Incarnation incarnation, long epoch, double timestampMs, long... outcomeCounts) {
        return new MigrationEntry(
                Kind.REPORT, timestampMs, incarnation, epoch, 0, "", outcomeCounts, NO_UNITS, null);
    }

    /** Returns the entry by which an operator halts the migration. */
    public static MigrationEntry halt(String operator, double timestampMs) {
        return command(Kind.HALT, operator, timestampMs, 0);
    }

    /**
     * Returns the entry by which an operator lifts a halt.
     *
     * @param haltCount number of the halt that the operator saw; a later one is not lifted
     */
    public static MigrationEntry resume(String operator, double timestampMs, long haltCount) {
        return command(Kind.RESUME, operator, timestampMs, haltCount);
    }

    /** Returns the entry by which an operator reverts the migration. */
    public static MigrationEntry revert(String operator, double timestampMs) {
        return command(Kind.BACK, operator, timestampMs, 0);
    }

    private static MigrationEntry command(
            Kind kind, String operator, double timestampMs, long haltCount) {
        return new MigrationEntry(
                kind,
                timestampMs,
                NO_INCARNATION,
                haltCount,
                0,
                operator,
                NO_COUNTS,
                NO_UNITS,
                null);
    }

    /** Encodes the entry for the log. */
    public byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream output = new DataOutputStream(bytes)) {
            output.writeByte(MAGIC_BYTE);
            output.writeByte(VERSION);
            output.writeByte(kind.ordinal());
            output.writeDouble(timestampMs);
            output.writeInt(incarnation.gateway());
            output.writeLong(incarnation.start());
            output.writeLong(epoch);
            output.writeInt(targetStep);
            output.writeUTF(operator);
            output.writeByte(outcomeCounts.length / COUNTS_PER_FRONTEND);
            for (long count : outcomeCounts) {
                output.writeLong(count);
            }
            output.writeByte(warmUnits.length);
            for (double units : warmUnits) {
                output.writeDouble(units);
            }
            if (plan != null) {
                MigrationPlanCodec.write(output, plan);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes an entry of the log.
     *
     * @throws UnreadableEntryException if the bytes are not an entry of a known version and kind
     */
    static MigrationEntry decode(byte[] bytes) throws UnreadableEntryException {
        if (!hasKnownHeader(bytes)) {
            byte[] header = Arrays.copyOf(bytes, Math.min(HEADER_BYTES, bytes.length));
            throw new UnreadableEntryException(
                    "unknown header or entry too long: expected a magic byte, version and kind, got"
                            + " "
                            + Arrays.toString(header));
        }
        try (DataInputStream input =
                new DataInputStream(new ByteArrayInputStream(bytes, 2, bytes.length - 2))) {
            MigrationEntry entry = read(input);
            if (input.available() > 0
                    || !Double.isFinite(entry.timestampMs)
                    || entry.operator.length() > MAX_OPERATOR_LENGTH) {
                throw new UnreadableEntryException(
                        "expected a finite time stamp, an operator of at most 64 characters and"
                                + " nothing after the last field");
            }
            return entry;
        } catch (IOException | PlanErrors.InvalidPlanException e) {
            throw new UnreadableEntryException(e.toString());
        }
    }

    private static boolean hasKnownHeader(byte[] bytes) {
        return bytes.length <= MAX_ENTRY_BYTES
                && bytes.length >= HEADER_BYTES
                && bytes[0] == MAGIC_BYTE
                && bytes[1] == VERSION
                && bytes[2] >= 0
                && bytes[2] < Kind.values().length;
    }

    private static MigrationEntry read(DataInputStream input) throws IOException {
        Kind kind = Kind.values()[input.readByte()];
        double timestampMs = input.readDouble();
        Incarnation incarnation = new Incarnation(input.readInt(), input.readLong());
        long epoch = input.readLong();
        int targetStep = input.readInt();
        String operator = input.readUTF();
        long[] outcomeCounts = new long[COUNTS_PER_FRONTEND * input.readUnsignedByte()];
        for (int i = 0; i < outcomeCounts.length; i++) {
            outcomeCounts[i] = input.readLong();
        }
        double[] warmUnits = new double[input.readUnsignedByte()];
        for (int i = 0; i < warmUnits.length; i++) {
            warmUnits[i] = input.readDouble();
        }
        MigrationPlan plan = kind == Kind.BEGIN ? MigrationPlanCodec.read(input) : null;
        return new MigrationEntry(
                kind,
                timestampMs,
                incarnation,
                epoch,
                targetStep,
                operator,
                outcomeCounts,
                warmUnits,
                plan);
    }
}
