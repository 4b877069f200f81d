package tinford.protocol;

import java.nio.charset.StandardCharsets;

/**
 * Parses one RESP2 value at a time where it lies in a byte array, without copying: a simple value,
 * or an array of simple values. After a parse its parts are read by index; a simple value has one.
 */
public final class RespReader {
    private static final int MAX_PARTS = 16;
    private static final int MAX_LINE_BYTES = 1024;
    private static final int MAX_BULK_BYTES = 64 << 10;
    private static final int MAX_LONG_BULK_BYTES = 4 << 20;
    private static final int MAX_LENGTH_DIGITS = 9;
    private static final int LINE_END_BYTES = 2;

    /** The part of a command that may be a long body. */
    private static final int BODY_PART = 4;

    /** A part that is no long body, with its prefix and line ends. */
    private static final int MAX_PART_OVERHEAD_BYTES = 1100;

    /** The longest value that is parsed whole, but for commands with a long body. */
    public static final int MAX_VALUE_BYTES = MAX_BULK_BYTES + MAX_PARTS * MAX_PART_OVERHEAD_BYTES;

    /** The longest command with a long body. */
    public static final int MAX_COMMAND_BYTES = MAX_LONG_BULK_BYTES + MAX_VALUE_BYTES;

    /** The kind of a null bulk string. */
    private static final byte NULL_KIND = 0;

    private final boolean allowsLongBody;
    private final int[] partStart = new int[MAX_PARTS];
    private final int[] partEnd = new int[MAX_PARTS];
    private final byte[] partKind = new byte[MAX_PARTS];
    private byte[] bytes;
    private int valueStart;
    private int position;
    private int limit;
    private boolean isArray;
    private int partCount;
    private int requiredBytes;
    private long longValueBytes;

    public RespReader() {
        this(false);
    }

    /**
     * @param allowsLongBody whether the body of a command may be as long as a long value
     */
    public RespReader(boolean allowsLongBody) {
        this.allowsLongBody = allowsLongBody;
    }

    /**
     * Parses the value at the start of the range.
     *
     * @return its length, or 0 when it is not complete yet
     */
    public int parse(byte[] source, int from, int to) throws ProtocolException {
        setSource(source, from, to);
        valueStart = from;
        requiredBytes = 0;
        partCount = 1;
        isArray = position < limit && bytes[position] == '*';
        if (isArray) {
            long count = parseLength();
            if (count < 0) {
                return 0;
            }
            if (count == 0 || count > MAX_PARTS) {
                throw new ProtocolException("an array of 1 to " + MAX_PARTS + " parts");
            }
            partCount = (int) count;
        }
        return parseParts(0) ? position - from : 0;
    }

    private void setSource(byte[] source, int from, int to) {
        bytes = source;
        position = from;
        limit = to;
    }

    private boolean parseParts(int first) throws ProtocolException {
        for (int i = first; i < partCount; i++) {
            if (!parsePart(i)) {
                return false;
            }
        }
        return true;
    }

    /** False when the part is not complete yet. */
    private boolean parsePart(int i) throws ProtocolException {
        if (position >= limit) {
            return false;
        }
        partKind[i] = bytes[position];
        return switch (partKind[i]) {
            case '$' -> isNegativeLength() ? parseNullBulk(i) : parseBulk(i);
            case '+', '-', ':' -> parseLinePart(i);
            default -> throw new ProtocolException("a RESP2 value");
        };
    }

    private boolean isNegativeLength() {
        return position + 1 < limit && bytes[position + 1] == '-';
    }

    private boolean parseBulk(int i) throws ProtocolException {
        long length = parseLength();
        if (length < 0) {
            return false;
        }
        int maxLength = allowsLongBody && i == BODY_PART ? MAX_LONG_BULK_BYTES : MAX_BULK_BYTES;
        if (length > maxLength) {
            throw new ProtocolException("a value of at most " + maxLength + " bytes");
        }
        int withLineEnd = (int) length + LINE_END_BYTES;
        if (limit - position < withLineEnd) {
            requiredBytes = length > MAX_BULK_BYTES ? position - valueStart + withLineEnd : 0;
            return false;
        }
        setPart(i, position, position + (int) length);
        if (!isLineEnd(partEnd[i])) {
            throw new ProtocolException("the end of a line behind a value");
        }
        return true;
    }

    private boolean parseLinePart(int i) throws ProtocolException {
        int lineEnd = findLineEnd();
        if (lineEnd < 0) {
            return false;
        }
        setPart(i, position + 1, lineEnd);
        return true;
    }

    private boolean parseNullBulk(int i) throws ProtocolException {
        int lineEnd = findLineEnd();
        if (lineEnd < 0) {
            return false;
        }
        if (lineEnd - position != "$-1".length() || bytes[position + 2] != '1') {
            throw new ProtocolException("$-1 for no value");
        }
        partKind[i] = NULL_KIND;
        setPart(i, lineEnd, lineEnd);
        return true;
    }

    /** Records the part, and goes on behind the line end that follows it. */
    private void setPart(int i, int start, int end) {
        partStart[i] = start;
        partEnd[i] = end;
        position = end + LINE_END_BYTES;
    }

    private boolean isLineEnd(int index) {
        return bytes[index] == '\r' && bytes[index + 1] == '\n';
    }

    /**
     * The length behind the type character at the present position, or -1 when its line is not
     * complete; goes on behind the line.
     */
    private long parseLength() throws ProtocolException {
        int lineEnd = findLineEnd();
        if (lineEnd < 0) {
            return -1;
        }
        int first = position + 1;
        if (lineEnd == first || lineEnd - first > MAX_LENGTH_DIGITS) {
            throw new ProtocolException("a length of 1 to " + MAX_LENGTH_DIGITS + " digits");
        }
        long length = 0;
        for (int i = first; i < lineEnd; i++) {
            if (bytes[i] < '0' || bytes[i] > '9') {
                throw new ProtocolException("a length in digits");
            }
            length = length * 10 + bytes[i] - '0';
        }
        position = lineEnd + LINE_END_BYTES;
        return length;
    }

    private int findLineEnd() throws ProtocolException {
        int searchEnd = Math.min(limit, position + MAX_LINE_BYTES);
        for (int i = position; i + 1 < searchEnd; i++) {
            if (isLineEnd(i)) {
                return i;
            }
        }
        if (limit - position >= MAX_LINE_BYTES) {
            throw new ProtocolException("a line of under " + MAX_LINE_BYTES + " bytes");
        }
        return -1;
    }

    /**
     * Parses the head of an answer with a long value: an array whose first part is a bulk string of
     * more bytes than are read whole. {@link #longValueBytes} is then its length.
     *
     * @return the length of the head, behind which the value's bytes begin, or 0 when there is no
     *     such head
     */
    public int parseLongValueHead(byte[] source, int from, int to) throws ProtocolException {
        setSource(source, from, to);
        if (position >= limit || bytes[position] != '*') {
            return 0;
        }
        long count = parseLength();
        if (count < 1 || count > MAX_PARTS || position >= limit || bytes[position] != '$') {
            return 0;
        }
        partCount = (int) count;
        longValueBytes = isNegativeLength() ? 0 : parseLength();
        if (longValueBytes <= MAX_BULK_BYTES) {
            return 0;
        }
        if (longValueBytes > MAX_LONG_BULK_BYTES) {
            throw new ProtocolException("a value of at most " + MAX_LONG_BULK_BYTES + " bytes");
        }
        return position - from;
    }

    /**
     * After an incomplete {@link #parse}: the length of the whole command when it has a long body,
     * else 0.
     */
    public int requiredBytes() {
        return requiredBytes;
    }

    public long longValueBytes() {
        return longValueBytes;
    }

    /**
     * Parses what follows a long value in an array of so many parts: its line end and the other
     * parts. The long value itself is then an empty part.
     *
     * @return the length of what follows, or 0 when it is not complete yet
     */
    public int parseAfterLongValue(int parts, byte[] source, int from, int to)
            throws ProtocolException {
        setSource(source, from, to);
        partCount = parts;
        isArray = true;
        int available = limit - position;
        if (available >= 1 && bytes[position] != '\r'
                || available >= 2 && bytes[position + 1] != '\n') {
            throw new ProtocolException("the end of a line behind a value");
        }
        partKind[0] = '$';
        setPart(0, position, position);
        if (position > limit) {
            return 0;
        }
        return parseParts(1) ? position - from : 0;
    }

    /** The array that was parsed last. */
    public byte[] bytes() {
        return bytes;
    }

    public boolean isArray() {
        return isArray;
    }

    public int partCount() {
        return partCount;
    }

    /** The type character of a part: '$', '+', '-' or ':', or 0 for a null bulk string. */
    public byte kind(int part) {
        return partKind[part];
    }

    /** Where the content of a part begins in {@link #bytes}. */
    public int offset(int part) {
        return partStart[part];
    }

    public int length(int part) {
        return partEnd[part] - partStart[part];
    }

    public String text(int part) {
        return new String(bytes, partStart[part], length(part), StandardCharsets.ISO_8859_1);
    }

    /** Whether the value is an array of bulk strings. */
    public boolean isCommand() {
        for (int i = 0; i < partCount; i++) {
            if (partKind[i] != '$') {
                return false;
            }
        }
        return isArray;
    }
}
