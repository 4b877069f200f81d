package tinford.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Reads lines of text from an HTTP/1.1 response with chunked transfer encoding. A line may span
 * several chunks, and a chunk several reads.
 */
public final class ChunkedLineReader {
    private static final int MAX_HEAD_BYTES = 8 << 10;
    private static final int INITIAL_LINE_BYTES = 1024;

    /** A line buffer longer than this is released when its line is complete. */
    private static final int MAX_RETAINED_LINE_BYTES = 64 << 10;

    private static final int HEX_RADIX = 16;

    private enum State {
        RESPONSE_HEAD,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        COMPLETE
    }

    private final int maxLineBytes;
    private State state = State.RESPONSE_HEAD;
    private byte[] line = new byte[INITIAL_LINE_BYTES];
    private int lineLength;
    private long remainingChunkBytes;

    /**
     * @param maxLineBytes the maximum length of a line
     */
    public ChunkedLineReader(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /** Whether the last chunk of the response has been read. */
    public boolean isComplete() {
        return state == State.COMPLETE;
    }

    /**
     * Reads as many of the bytes as possible.
     *
     * @param lineHandler called with each complete line, without surrounding white space
     * @return how many bytes were consumed; the caller passes the others again, followed by more
     *     input
     */
    public int read(byte[] bytes, int from, int to, Consumer<String> lineHandler)
            throws ProtocolException {
        int position = from;
        while (state != State.COMPLETE && position < to) {
            int consumed =
                    state == State.CHUNK_DATA
                            ? readChunkData(bytes, position, to, lineHandler)
                            : readControlLine(bytes, position, to);
            if (consumed == 0) {
                break;
            }
            position += consumed;
        }
        return position - from;
    }

    private int readChunkData(byte[] bytes, int from, int to, Consumer<String> lineHandler)
            throws ProtocolException {
        int count = (int) Math.min(remainingChunkBytes, to - from);
        readText(bytes, from, from + count, lineHandler);
        remainingChunkBytes -= count;
        if (remainingChunkBytes == 0) {
            state = State.CHUNK_END;
        }
        return count;
    }

    /**
     * Reads the response head, a chunk size line, or the line end after a chunk.
     *
     * @return the number of bytes consumed, or 0 if the input is incomplete
     */
    private int readControlLine(byte[] bytes, int from, int to) throws ProtocolException {
        int end =
                state == State.RESPONSE_HEAD
                        ? endOfEmptyLine(bytes, from, to)
                        : endOfLine(bytes, from, to);
        if (end < 0) {
            if (to - from > MAX_HEAD_BYTES) {
                throw new ProtocolException(
                        "a response head or chunk line of under " + MAX_HEAD_BYTES + " bytes");
            }
            return 0;
        }
        String text = new String(bytes, from, end - from, StandardCharsets.ISO_8859_1);
        switch (state) {
            case RESPONSE_HEAD -> readResponseHead(text);
            case CHUNK_SIZE -> readChunkSize(text);
            default -> readChunkEnd(text);
        }
        return end - from;
    }

    private void readResponseHead(String head) throws ProtocolException {
        if (!head.startsWith("HTTP/1.1 200 ")) {
            throw new ProtocolException("status line HTTP/1.1 200");
        }
        if (!head.toLowerCase(Locale.ROOT).contains("\r\ntransfer-encoding: chunked\r\n")) {
            throw new ProtocolException("a response with Transfer-Encoding: chunked");
        }
        state = State.CHUNK_SIZE;
    }

    private void readChunkSize(String text) throws ProtocolException {
        int extension = text.indexOf(';');
        int digitsEnd = extension < 0 ? text.length() - 2 : extension;
        try {
            remainingChunkBytes = Long.parseLong(text.substring(0, digitsEnd).trim(), HEX_RADIX);
        } catch (NumberFormatException e) {
            throw new ProtocolException("a chunk size in hex digits");
        }
        if (remainingChunkBytes < 0) {
            throw new ProtocolException("a chunk size from 0 on");
        }
        state = remainingChunkBytes == 0 ? State.COMPLETE : State.CHUNK_DATA;
    }

    private void readChunkEnd(String text) throws ProtocolException {
        if (!text.equals("\r\n")) {
            throw new ProtocolException("CR LF after the chunk data");
        }
        state = State.CHUNK_SIZE;
    }

    /** The index after the first CR LF, or -1. */
    private static int endOfLine(byte[] bytes, int from, int to) {
        for (int i = from; i + 2 <= to; i++) {
            if (isLineEnd(bytes, i)) {
                return i + 2;
            }
        }
        return -1;
    }

    /** The index after the first two consecutive CR LF, or -1. */
    private static int endOfEmptyLine(byte[] bytes, int from, int to) {
        for (int i = from; i + 4 <= to; i++) {
            if (isLineEnd(bytes, i) && isLineEnd(bytes, i + 2)) {
                return i + 4;
            }
        }
        return -1;
    }

    private static boolean isLineEnd(byte[] bytes, int index) {
        return bytes[index] == '\r' && bytes[index + 1] == '\n';
    }

    private void readText(byte[] bytes, int from, int to, Consumer<String> lineHandler)
            throws ProtocolException {
        int start = from;
        for (int i = from; i < to; i++) {
            if (bytes[i] == '\n') {
                appendToLine(bytes, start, i);
                lineHandler.accept(takeLine());
                start = i + 1;
            }
        }
        appendToLine(bytes, start, to);
    }

    /** Returns the line, and releases a long buffer: the line's handler needs the memory. */
    private String takeLine() {
        String text = new String(line, 0, lineLength, StandardCharsets.UTF_8).strip();
        lineLength = 0;
        if (line.length > MAX_RETAINED_LINE_BYTES) {
            line = new byte[INITIAL_LINE_BYTES];
        }
        return text;
    }

    private void appendToLine(byte[] bytes, int from, int to) throws ProtocolException {
        int count = to - from;
        int newLength = lineLength + count;
        if (newLength > maxLineBytes) {
            throw new ProtocolException("a line of under " + maxLineBytes + " bytes");
        }
        if (newLength > line.length) {
            line = Arrays.copyOf(line, Math.max(2 * line.length, newLength));
        }
        System.arraycopy(bytes, from, line, lineLength, count);
        lineLength = newLength;
    }
}
