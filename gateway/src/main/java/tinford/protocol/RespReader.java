package tinford.protocol;

import java.nio.charset.StandardCharsets;

/**
 * One RESP2 value at a time, found where it lies: a simple one, or an array of simple ones. Nothing
 * is copied.
 */
public final class RespReader {
    private static final int MOST_PARTS = 16;
    private static final int MOST_LINE = 1024;
    private static final int MOST_BULK = 64 << 10;
    private static final int MOST_LONG = 4 << 20;
    private static final int BODY = 4; // a command's last part

    /** A whole value that is read here is never longer than this. */
    public static final int MAX_VALUE_BYTES = MOST_BULK + MOST_PARTS * 1100;

    /** Nor a command with a long body. */
    public static final int MAX_COMMAND_BYTES = MOST_LONG + MOST_BULK + MOST_PARTS * 1100;

    private final int[] from = new int[MOST_PARTS];
    private final int[] to = new int[MOST_PARTS];
    private final byte[] kind = new byte[MOST_PARTS];
    private byte[] bytes;
    private boolean array;
    private int parts;
    private int at;
    private int end;
    private long longValue;
    private int begun;
    private int needs;
    private final boolean longBody;

    public RespReader() {
        this(false);
    }

    /**
     * @param longBody whether the body of a command may be as long as a long value
     */
    public RespReader(boolean longBody) {
        this.longBody = longBody;
    }

    /**
     * Looks for a whole value at the start of the bytes given.
     *
     * @return its length, or 0 when more has to come
     */
    public int parse(byte[] in, int start, int stop) throws ProtocolException {
        bytes = in;
        begun = start;
        at = start;
        end = stop;
        needs = 0;
        parts = 1;
        array = at < end && bytes[at] == '*';
        if (array) {
            long n = number(1);
            if (n < 0) {
                return 0;
            }
            if (n == 0 || n > MOST_PARTS) {
                throw new ProtocolException("an array of 1 to " + MOST_PARTS + " parts");
            }
            parts = (int) n;
        }
        for (int i = 0; i < parts; i++) {
            if (!part(i)) {
                return 0;
            }
        }
        return at - start;
    }

    private boolean part(int i) throws ProtocolException {
        if (at >= end) {
            return false;
        }
        kind[i] = bytes[at];
        switch (kind[i]) {
            case '$' -> {
                if (at + 1 < end && bytes[at + 1] == '-') {
                    return none(i);
                }
                long n = number(1);
                if (n < 0) {
                    return false;
                }
                int most = longBody && i == BODY ? MOST_LONG : MOST_BULK;
                if (n > most) {
                    throw new ProtocolException("a value of at most " + most + " bytes");
                }
                if (end - at < n + 2) {
                    needs = n > MOST_BULK ? at - begun + (int) n + 2 : 0;
                    return false;
                }
                from[i] = at;
                to[i] = at + (int) n;
                if (bytes[to[i]] != '\r' || bytes[to[i] + 1] != '\n') {
                    throw new ProtocolException("the end of a line behind a value");
                }
                at = to[i] + 2;
                return true;
            }
            case '+', '-', ':' -> {
                int stop = line();
                if (stop < 0) {
                    return false;
                }
                from[i] = at + 1;
                to[i] = stop;
                at = stop + 2;
                return true;
            }
            default -> throw new ProtocolException("a RESP2 value");
        }
    }

    private boolean none(int i) throws ProtocolException {
        int stop = line();
        if (stop < 0) {
            return false;
        }
        if (stop - at != 3 || bytes[at + 2] != '1') {
            throw new ProtocolException("$-1 for no value");
        }
        kind[i] = 0;
        from[i] = to[i] = stop;
        at = stop + 2;
        return true;
    }

    /**
     * The length behind the sign at the present place, or -1 when more has to come; goes on behind
     * the line.
     */
    private long number(int skip) throws ProtocolException {
        int stop = line();
        if (stop < 0) {
            return -1;
        }
        int first = at + skip;
        if (stop == first || stop - first > 9) {
            throw new ProtocolException("a length of 1 to 9 digits");
        }
        long n = 0;
        for (int i = first; i < stop; i++) {
            if (bytes[i] < '0' || bytes[i] > '9') {
                throw new ProtocolException("a length in digits");
            }
            n = n * 10 + bytes[i] - '0';
        }
        at = stop + 2;
        return n;
    }

    private int line() throws ProtocolException {
        int most = Math.min(end, at + MOST_LINE);
        for (int i = at; i + 1 < most; i++) {
            if (bytes[i] == '\r' && bytes[i + 1] == '\n') {
                return i;
            }
        }
        if (end - at >= MOST_LINE) {
            throw new ProtocolException("a line of under " + MOST_LINE + " bytes");
        }
        return -1;
    }

    /**
     * Looks for the beginning of a longer answer than is read whole: an array whose first part is
     * such a value. Its length is then {@link #longValue}, and the result is where its bytes begin,
     * counted from the start; else 0.
     */
    public int parseLong(byte[] in, int start, int stop) throws ProtocolException {
        bytes = in;
        at = start;
        end = stop;
        if (at >= end || bytes[at] != '*') {
            return 0;
        }
        long n = number(1);
        if (n < 1 || n > MOST_PARTS || at >= end || bytes[at] != '$') {
            return 0;
        }
        parts = (int) n;
        longValue = at + 1 < end && bytes[at + 1] == '-' ? 0 : number(1);
        if (longValue <= MOST_BULK) {
            return 0;
        }
        if (longValue > MOST_LONG) {
            throw new ProtocolException("a value of at most " + MOST_LONG + " bytes");
        }
        return at - start;
    }

    /**
     * After a parse that wants more: how many bytes the whole will have, where a long body is under
     * way; else 0.
     */
    public int needs() {
        return needs;
    }

    public long longValue() {
        return longValue;
    }

    /**
     * What stands behind the first value of an array of so many parts: the line end, and the parts
     * that follow.
     */
    public int parseRest(int parts, byte[] in, int start, int stop) throws ProtocolException {
        bytes = in;
        at = start;
        end = stop;
        this.parts = parts;
        array = true;
        if (end - at >= 1 && bytes[at] != '\r' || end - at >= 2 && bytes[at + 1] != '\n') {
            throw new ProtocolException("the end of a line behind a value");
        }
        kind[0] = '$';
        from[0] = to[0] = at;
        at += 2;
        if (at > end) {
            return 0;
        }
        for (int i = 1; i < parts; i++) {
            if (!part(i)) {
                return 0;
            }
        }
        return at - start;
    }

    public byte[] bytes() {
        return bytes;
    }

    public boolean array() {
        return array;
    }

    public int parts() {
        return parts;
    }

    /** '$' for a bulk string, 0 for a null one, else the sign that the part begins with. */
    public byte kind(int i) {
        return kind[i];
    }

    public int from(int i) {
        return from[i];
    }

    public int length(int i) {
        return to[i] - from[i];
    }

    public String text(int i) {
        return new String(bytes, from[i], to[i] - from[i], StandardCharsets.ISO_8859_1);
    }

    /** A command is an array of bulk strings. */
    public boolean command() {
        for (int i = 0; i < parts; i++) {
            if (kind[i] != '$') {
                return false;
            }
        }
        return array;
    }
}
