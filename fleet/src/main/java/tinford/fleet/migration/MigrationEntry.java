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
 * One entry of the log about moves: version, kind, time stamp of whoever wrote it, then what the
 * kind needs. At most 64 KiB.
 *
 * @param epoch which change of position it speaks of; for a halt's {@code resume} the number of
 *     that halt
 * @param outcomeCounts for {@code REPORT}: of each frontend answers and bad ones of the old group,
 *     then of the new one
 * @param warmUnits for {@code GO}: warm units a second of each group that is gone to, by name
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
    /** The kinds, in the order of their numbers in the log. */
    public enum Kind {
        BEGIN,
        ACK,
        GO,
        REPORT,
        HALT,
        RESUME,
        BACK
    }

    public static final int VERSION = 1;

    /** Tells entries about moves from those of others in the same log. */
    public static final int MARK = 'M';

    private static final int MAX_ENTRY_BYTES = 64 << 10;
    private static final Incarnation NO_INCARNATION = new Incarnation(0, 0);

    /** Bytes that are no entry, or of a version or kind that is not known here. */
    static final class UnreadableEntryException extends Exception {
        private static final long serialVersionUID = 1L;

        UnreadableEntryException(String why) {
            super(why, null, false, false);
        }
    }

    private static MigrationEntry of(
            Kind kind, double at, Incarnation incarnation, long turn, int to, String who) {
        return new MigrationEntry(
                kind, at, incarnation, turn, to, who, new long[0], new double[0], null);
    }

    public static MigrationEntry begin(String operator, double at, MigrationPlan plan) {
        return new MigrationEntry(
                Kind.BEGIN, at, NO_INCARNATION, 0, 0, operator, new long[0], new double[0], plan);
    }

    public static MigrationEntry ack(Incarnation incarnation, long turn, double at) {
        return of(Kind.ACK, at, incarnation, turn, 0, "");
    }

    public static MigrationEntry go(double at, long turn, int to, double... warm) {
        return new MigrationEntry(
                Kind.GO, at, NO_INCARNATION, turn, to, "", new long[0], warm, null);
    }

    public static MigrationEntry report(
            Incarnation incarnation, long turn, double at, long... counts) {
        return new MigrationEntry(
                Kind.REPORT, at, incarnation, turn, 0, "", counts, new double[0], null);
    }

    public static MigrationEntry halt(String operator, double at) {
        return of(Kind.HALT, at, NO_INCARNATION, 0, 0, operator);
    }

    /**
     * @param halt the number of the halt that the operator saw; a later one is not lifted by it
     */
    public static MigrationEntry resume(String operator, double at, long halt) {
        return of(Kind.RESUME, at, NO_INCARNATION, halt, 0, operator);
    }

    public static MigrationEntry back(String operator, double at) {
        return of(Kind.BACK, at, NO_INCARNATION, 0, 0, operator);
    }

    public byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(MARK);
            out.writeByte(VERSION);
            out.writeByte(kind.ordinal());
            out.writeDouble(timestampMs);
            out.writeInt(incarnation.gateway());
            out.writeLong(incarnation.start());
            out.writeLong(epoch);
            out.writeInt(targetStep);
            out.writeUTF(operator);
            out.writeByte(outcomeCounts.length / 4);
            for (long c : outcomeCounts) {
                out.writeLong(c);
            }
            out.writeByte(warmUnits.length);
            for (double w : warmUnits) {
                out.writeDouble(w);
            }
            if (plan != null) {
                plan.write(out);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    static MigrationEntry of(byte[] bytes) throws UnreadableEntryException {
        if (bytes.length > MAX_ENTRY_BYTES
                || bytes.length < 3
                || bytes[0] != MARK
                || bytes[1] != VERSION
                || bytes[2] < 0
                || bytes[2] >= Kind.values().length) {
            throw new UnreadableEntryException(
                    "mark, version or kind "
                            + Arrays.toString(Arrays.copyOf(bytes, Math.min(3, bytes.length))));
        }
        try (DataInputStream in =
                new DataInputStream(new ByteArrayInputStream(bytes, 2, bytes.length - 2))) {
            Kind kind = Kind.values()[in.readByte()];
            double at = in.readDouble();
            Incarnation incarnation = new Incarnation(in.readInt(), in.readLong());
            long turn = in.readLong();
            int to = in.readInt();
            String who = in.readUTF();
            long[] counts = new long[4 * in.readUnsignedByte()];
            for (int i = 0; i < counts.length; i++) {
                counts[i] = in.readLong();
            }
            double[] warm = new double[in.readUnsignedByte()];
            for (int i = 0; i < warm.length; i++) {
                warm[i] = in.readDouble();
            }
            MigrationPlan plan = kind == Kind.BEGIN ? MigrationPlan.read(in) : null;
            if (in.available() > 0 || !Double.isFinite(at) || who.length() > 64) {
                throw new UnreadableEntryException("a length, a time or a name out of form");
            }
            return new MigrationEntry(kind, at, incarnation, turn, to, who, counts, warm, plan);
        } catch (IOException | PlanErrors.InvalidPlanException e) {
            throw new UnreadableEntryException(e.toString());
        }
    }
}
