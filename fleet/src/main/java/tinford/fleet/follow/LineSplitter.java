package tinford.fleet.follow;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Splits a stream of bytes into lines of bounded length. Not thread-safe. */
final class LineSplitter {
    /** A line is longer than allowed. */
    static final class LineTooLongException extends Exception {
        private static final long serialVersionUID = 1L;

        LineTooLongException(int maxLineBytes) {
            super("line: expected at most " + maxLineBytes + " bytes");
        }
    }

    private static final byte LINE_FEED = '\n';

    private final int maxLineBytes;
    private ByteArrayOutputStream partialLine = new ByteArrayOutputStream();

    /**
     * @param maxLineBytes the longest line, without its line feed
     */
    LineSplitter(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /**
     * The lines that end within these bytes, without their line feeds. An unfinished line is kept
     * for the next call.
     */
    List<byte[]> split(List<ByteBuffer> buffers) throws LineTooLongException {
        List<byte[]> lines = new ArrayList<>();
        for (ByteBuffer buffer : buffers) {
            while (buffer.hasRemaining()) {
                int length = lengthToLineFeed(buffer);
                boolean endsLine = length < buffer.remaining();
                append(buffer, length);
                if (endsLine) {
                    buffer.get();
                    lines.add(partialLine.toByteArray());
                    partialLine = new ByteArrayOutputStream();
                }
            }
        }
        return lines;
    }

    private static int lengthToLineFeed(ByteBuffer buffer) {
        for (int at = buffer.position(); at < buffer.limit(); at++) {
            if (buffer.get(at) == LINE_FEED) {
                return at - buffer.position();
            }
        }
        return buffer.remaining();
    }

    private void append(ByteBuffer buffer, int length) throws LineTooLongException {
        if (partialLine.size() + length > maxLineBytes) {
            throw new LineTooLongException(maxLineBytes);
        }
        byte[] bytes = new byte[length];
        buffer.get(bytes);
        partialLine.writeBytes(bytes);
    }
}
