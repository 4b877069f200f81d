package tinford.fleet.follow;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Cuts a stream of bytes into lines of bounded length. Not thread-safe. */
final class LineSplitter {
    /** A line is longer than it may be. */
    static final class LineTooLongException extends Exception {
        private static final long serialVersionUID = 1L;

        LineTooLongException(int maxLineBytes) {
            super("line: expected at most " + maxLineBytes + " bytes");
        }
    }

    private static final byte LINE_END = '\n';
    private final int maxLineBytes;
    private ByteArrayOutputStream partialLine = new ByteArrayOutputStream();

    /** For lines of at most so many bytes. */
    LineSplitter(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /**
     * The lines that end in these bytes, without their ends; the rest is kept for the next call.
     */
    List<byte[]> split(List<ByteBuffer> buffers) throws LineTooLongException {
        List<byte[]> lines = new ArrayList<>();
        for (ByteBuffer buffer : buffers) {
            while (buffer.hasRemaining()) {
                int length = lengthToLineEnd(buffer);
                boolean endsLine = length < buffer.remaining();
                take(buffer, length);
                if (endsLine) {
                    buffer.get();
                    lines.add(partialLine.toByteArray());
                    partialLine = new ByteArrayOutputStream();
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

    private void take(ByteBuffer buffer, int length) throws LineTooLongException {
        if (partialLine.size() + length > maxLineBytes) {
            throw new LineTooLongException(maxLineBytes);
        }
        byte[] bytes = new byte[length];
        buffer.get(bytes);
        partialLine.writeBytes(bytes);
    }
}
