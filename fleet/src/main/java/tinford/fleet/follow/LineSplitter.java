package tinford.fleet.follow;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Cuts a stream of bytes into lines of bounded length. Not thread-safe. */
final class LineSplitter {
    /** A line is longer than it may be. */
    static final class LineTooLong extends Exception {
        private static final long serialVersionUID = 1L;

        LineTooLong(int longest) {
            super("line: expected at most " + longest + " bytes");
        }
    }

    private static final byte LINE_END = '\n';
    private final int longest;
    private ByteArrayOutputStream begun = new ByteArrayOutputStream();

    /** For lines of at most so many bytes. */
    LineSplitter(int longest) {
        this.longest = longest;
    }

    /**
     * The lines that end in these bytes, without their ends; the rest is kept for the next call.
     */
    List<byte[]> split(List<ByteBuffer> buffers) throws LineTooLong {
        List<byte[]> lines = new ArrayList<>();
        for (ByteBuffer buffer : buffers) {
            while (buffer.hasRemaining()) {
                int length = lengthToLineEnd(buffer);
                boolean ends = length < buffer.remaining();
                take(buffer, length);
                if (ends) {
                    buffer.get();
                    lines.add(begun.toByteArray());
                    begun = new ByteArrayOutputStream();
                }
            }
        }
        return lines;
    }

    private static int lengthToLineEnd(ByteBuffer buffer) {
        for (int at = buffer.position(); at < buffer.limit(); at++) {
            if (buffer.get(at) == LINE_END) {
                return at - buffer.position();
            }
        }
        return buffer.remaining();
    }

    private void take(ByteBuffer buffer, int length) throws LineTooLong {
        if (begun.size() + length > longest) {
            throw new LineTooLong(longest);
        }
        byte[] bytes = new byte[length];
        buffer.get(bytes);
        begun.writeBytes(bytes);
    }
}
