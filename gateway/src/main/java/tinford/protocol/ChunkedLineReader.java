package tinford.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * An HTTP/1.1 answer that is sent in chunks and holds lines of text; line ends and chunk ends need
 * not meet.
 */
public final class ChunkedLineReader {
    private static final int MOST_HEAD = 8 << 10;
    private static final int FIRST_CAPACITY = 1024;

    /** A buffer that has grown beyond it is let go with its line. */
    private static final int MOST_KEPT = 64 << 10;

    private final int mostLine;
    private byte[] line = new byte[FIRST_CAPACITY];
    private int length;
    private boolean headRead;
    private long
            chunk; // bytes still to come of the present one; -1 before its size line, -2 before its
    // closing one
    private boolean done;

    /**
     * @param mostLine the bytes of the longest line that is read
     */
    public ChunkedLineReader(int mostLine) {
        this.mostLine = mostLine;
        chunk = -1;
    }

    public boolean done() {
        return done;
    }

    /** Reads what it can; the result is how many bytes are not needed any more. */
    public int read(byte[] b, int from, int to, Consumer<String> lines) throws ProtocolException {
        int at = from;
        while (!done && at < to) {
            if (chunk > 0) {
                int n = (int) Math.min(chunk, to - at);
                text(b, at, at + n, lines);
                chunk -= n;
                at += n;
                if (chunk == 0) {
                    chunk = -2;
                }
                continue;
            }
            int stop = headRead ? end(b, at, to, 1) : end(b, at, to, 2);
            if (stop < 0) {
                if (to - at > MOST_HEAD) {
                    throw new ProtocolException("a head of under " + MOST_HEAD + " bytes");
                }
                break;
            }
            String head = new String(b, at, stop - at, StandardCharsets.ISO_8859_1);
            at = stop;
            if (!headRead) {
                head(head);
            } else if (chunk == -2) {
                if (!head.equals("\r\n")) {
                    throw new ProtocolException("the end of a line behind a chunk");
                }
                chunk = -1;
            } else {
                size(head);
            }
        }
        return at - from;
    }

    private void head(String head) throws ProtocolException {
        if (!head.startsWith("HTTP/1.1 200 ")) {
            throw new ProtocolException("HTTP/1.1 200");
        }
        if (!head.toLowerCase(Locale.ROOT).contains("\r\ntransfer-encoding: chunked\r\n")) {
            throw new ProtocolException("an answer in chunks");
        }
        headRead = true;
    }

    private void size(String head) throws ProtocolException {
        int stop = head.indexOf(';');
        String digits = head.substring(0, stop < 0 ? head.length() - 2 : stop).trim();
        try {
            chunk = Long.parseLong(digits, 16);
        } catch (NumberFormatException e) {
            throw new ProtocolException("the size of a chunk in hex digits");
        }
        if (chunk < 0) {
            throw new ProtocolException("the size of a chunk");
        }
        done = chunk == 0;
    }

    /** Where the first empty line ends (two line ends in a row), or the first line. */
    private static int end(byte[] b, int from, int to, int ends) {
        for (int i = from; i + 2 * ends <= to; i++) {
            if (b[i] == '\r'
                    && b[i + 1] == '\n'
                    && (ends == 1 || b[i + 2] == '\r' && b[i + 3] == '\n')) {
                return i + 2 * ends;
            }
        }
        return -1;
    }

    private void text(byte[] b, int from, int to, Consumer<String> lines) throws ProtocolException {
        int start = from;
        for (int i = from; i < to; i++) {
            if (b[i] == '\n') {
                keep(b, start, i);
                lines.accept(takeLine());
                start = i + 1;
            }
        }
        keep(b, start, to);
    }

    /** Lets a long buffer go first: whoever reads the line needs the memory. */
    private String takeLine() {
        String text = new String(line, 0, length, StandardCharsets.UTF_8).strip();
        length = 0;
        if (line.length > MOST_KEPT) {
            line = new byte[FIRST_CAPACITY];
        }
        return text;
    }

    private void keep(byte[] b, int from, int to) throws ProtocolException {
        int n = to - from;
        if (length + n > mostLine) {
            throw new ProtocolException("a line of under " + mostLine + " bytes");
        }
        if (length + n > line.length) {
            line = Arrays.copyOf(line, Math.max(2 * line.length, length + n));
        }
        System.arraycopy(b, from, line, length, n);
        length += n;
    }
}
