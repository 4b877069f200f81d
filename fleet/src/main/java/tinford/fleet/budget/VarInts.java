package tinford.fleet.budget;

import java.io.DataInput;
import java.io.DataOutput;
import java.io.IOException;
import tinford.fleet.membership.Incarnation;

/**
 * Variable-length encoding of integers from 0: 7 bits per byte, the lowest first, at most ten
 * bytes.
 */
final class VarInts {
    private static final int BITS_PER_BYTE = 7;
    private static final int VALUE_MASK = 0x7f;
    private static final int CONTINUATION_BIT = 0x80;

    private VarInts() {}

    static void write(DataOutput output, long value) throws IOException {
        long rest = value;
        while ((rest & ~(long) VALUE_MASK) != 0) {
            output.writeByte((int) (rest & VALUE_MASK | CONTINUATION_BIT));
            rest >>>= BITS_PER_BYTE;
        }
        output.writeByte((int) rest);
    }

    static long read(DataInput input) throws IOException {
        long value = 0;
        for (int shift = 0; shift < Long.SIZE; shift += BITS_PER_BYTE) {
            byte next = input.readByte();
            value |= (long) (next & VALUE_MASK) << shift;
            if (next >= 0) {
                return value;
            }
        }
        throw new IOException("variable-length integer: expected at most 10 bytes");
    }

    /**
     * @throws IOException if the number is not from 0 to {@code max}
     */
    static int readCount(DataInput input, int max) throws IOException {
        long value = read(input);
        if (value < 0 || value > max) {
            throw new IOException("count: expected 0 to " + max + ", got " + value);
        }
        return (int) value;
    }

    static void write(DataOutput output, Incarnation incarnation) throws IOException {
        write(output, incarnation.gateway());
        write(output, incarnation.start());
    }

    static Incarnation readIncarnation(DataInput input) throws IOException {
        return new Incarnation(readCount(input, Integer.MAX_VALUE), read(input));
    }
}
