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
 * @param turn which change of position it speaks of; for a halt's {@code resume} the number of that
 *     halt
 * @param counts for {@code REPORT}: of each frontend answers and bad ones of the old group, then of
 *     the new one
 * @param warm for {@code GO}: warm units a second of each group that is gone to, by name
 */
public record MigrationEntry(
        Kind kind,
        double at,
        Incarnation incarnation,
        long turn,
        int to,
        String who,
        long[] counts,
        double[] warm,
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

    private static final int MOST = 64 << 10;
    private static final Incarnation NOBODY = new Incarnation(0, 0);

    /** Bytes that are no entry, or of a version or kind that is not known here. */
    static final class Unknown extends Exception {
        private static final long serialVersionUID = 1L;

        Unknown(String why) {
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
                Kind.BEGIN, at, NOBODY, 0, 0, operator, new long[0], new double[0], plan);
    }

    public static MigrationEntry ack(Incarnation incarnation, long turn, double at) {
        return of(Kind.ACK, at, incarnation, turn, 0, "");
    }

    public static MigrationEntry go(double at, long turn, int to, double... warm) {
        return new MigrationEntry(Kind.GO, at, NOBODY, turn, to, "", new long[0], warm, null);
    }

    public static MigrationEntry report(
            Incarnation incarnation, long turn, double at, long... counts) {
        return new MigrationEntry(
                Kind.REPORT, at, incarnation, turn, 0, "", counts, new double[0], null);
    }

    public static MigrationEntry halt(String operator, double at) {
        return of(Kind.HALT, at, NOBODY, 0, 0, operator);
    }

    /**
     * @param halt the number of the halt that the operator saw; a later one is not lifted by it
     */
    public static MigrationEntry resume(String operator, double at, long halt) {
        return of(Kind.RESUME, at, NOBODY, halt, 0, operator);
    }

    public static MigrationEntry back(String operator, double at) {
        return of(Kind.BACK, at, NOBODY, 0, 0, operator);
    }

    public byte[] bytes() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(MARK);
            out.writeByte(VERSION);
            out.writeByte(kind.ordinal());
            out.writeDouble(at);
            out.writeInt(incarnation.gateway());
            out.writeLong(incarnation.start());
            out.writeLong(turn);
            out.writeInt(to);
            out.writeUTF(who);
            out.writeByte(counts.length / 4);
            for (long c : counts) {
                out.writeLong(c);
            }
            out.writeByte(warm.length);
            for (double w : warm) {
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

    static MigrationEntry of(byte[] bytes) throws Unknown {
        if (bytes.length > MOST
                || bytes.length < 3
                || bytes[0] != MARK
                || bytes[1] != VERSION
                || bytes[2] < 0
                || bytes[2] >= Kind.values().length) {
            throw new Unknown(
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
                throw new Unknown("a length, a time or a name out of form");
            }
            return new MigrationEntry(kind, at, incarnation, turn, to, who, counts, warm, plan);
        } catch (IOException | PlanErrors.Refused e) {
            throw new Unknown(e.toString());
        }
    }
}
