package tinford.fleet.budget;

import java.io.DataInput;
import java.io.DataOutput;
import java.io.IOException;
import tinford.fleet.membership.Incarnation;

/** Whole numbers as variable-length integers: seven bits a byte, the lowest first. */
final class VarInts {
    private VarInts() {}

    static void put(DataOutput out, long value) throws IOException {
        long v = value;
        while ((v & ~0x7fL) != 0) {
            out.writeByte((int) (v & 0x7f | 0x80));
            v >>>= 7;
        }
        out.writeByte((int) v);
    }

    static long take(DataInput in) throws IOException {
        long v = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            byte b = in.readByte();
            v |= (long) (b & 0x7f) << shift;
            if (b >= 0) {
                return v;
            }
        }
        throw new IOException("a whole number: longer than 10 bytes");
    }

    /** A number from 0 to {@code most}. */
    static int count(DataInput in, int most) throws IOException {
        long v = take(in);
        if (v < 0 || v > most) {
            throw new IOException("a count: " + v + ", expected 0 to " + most);
        }
        return (int) v;
    }

    static void put(DataOutput out, Incarnation incarnation) throws IOException {
        put(out, incarnation.gateway());
        put(out, incarnation.start());
    }

    static Incarnation incarnation(DataInput in) throws IOException {
        return new Incarnation(count(in, Integer.MAX_VALUE), take(in));
    }
}
