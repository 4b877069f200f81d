package tinford.protocol;

import java.nio.charset.StandardCharsets;

/**
 * Parses one RESP2 value at a time in place, without copying it out of its byte array. The value is
 * a simple string, error, integer or bulk string, or an array of these. After a parse its elements
 * are accessed by index; a value that is not an array has one element.
 */
public final class RespReader {
    private static final int MAX_ELEMENTS = 16;

    /** The maximum length of a line, such as the one with the length of a bulk string. */
    public static final int MAX_LINE_BYTES = 1024;

    private static final int MAX_BULK_BYTES = 64 << 10;
    private static final int MAX_LONG_BULK_BYTES = 4 << 20;
    private static final int MAX_LENGTH_DIGITS = 9;
    private static final int LINE_END_BYTES = 2;

    /** The element of a command that may be a long body. */
    private static final int BODY_ELEMENT = 4;

    /**
     * The size allowed for each element other than a long bulk string, including its prefix and
     * line ends.
     */
    private static final int MAX_ELEMENT_OVERHEAD_BYTES = 1100;

    /**
     * The maximum length of a value that is parsed in one piece, except for commands with a long
     * body.
     */
    public static final int MAX_VALUE_BYTES =
            MAX_BULK_BYTES + MAX_ELEMENTS * MAX_ELEMENT_OVERHEAD_BYTES;

    /** The maximum length of a command with a long body. */
    public static final int MAX_COMMAND_BYTES = MAX_LONG_BULK_BYTES + MAX_VALUE_BYTES;

    /** The type of a null bulk string. */
    private static final byte NULL_TYPE = 0;

    private final boolean allowsLongBody;
    private final int[] elementStart = new int[MAX_ELEMENTS];
    private final int[] elementEnd = new int[MAX_ELEMENTS];
    private final byte[] elementType = new byte[MAX_ELEMENTS];
    private byte[] bytes;
    private int valueStart;
    private int position;
    private int limit;
    private boolean isArray;
    private int elementCount;
    private int requiredBytes;
    private boolean requiresLongBody;
    private long valueBytes;

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
     * @return its length, or 0 if it is incomplete
     */
    public int parse(byte[] source, int from, int to) throws ProtocolException {
        setSource(source, from, to);
        valueStart = from;
        requiredBytes = 0;
        requiresLongBody = false;
        elementCount = 1;
        isArray = position < limit && bytes[position] == '*';
        if (isArray) {
            long count = parseLength();
            if (count < 0) {
                return 0;
            }
            if (count == 0 || count > MAX_ELEMENTS) {
                throw new ProtocolException("an array of 1 to " + MAX_ELEMENTS + " elements");
            }
            elementCount = (int) count;
        }
        return parseElements(0) ? position - from : 0;
    }

    private void setSource(byte[] source, int from, int to) {
        bytes = source;
        position = from;
        limit = to;
    }

    private boolean parseElements(int first) throws ProtocolException {
        for (int i = first; i < elementCount; i++) {
            if (!parseElement(i)) {
                return false;
            }
        }
        return true;
    }

    /** Returns false if the element is incomplete. */
    private boolean parseElement(int i) throws ProtocolException {
        if (position >= limit) {
            return false;
        }
        elementType[i] = bytes[position];
        return switch (elementType[i]) {
            case '$' -> isNegativeLength() ? parseNullBulk(i) : parseBulk(i);
            case '+', '-', ':' -> parseLineElement(i);
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
        int maxLength = allowsLongBody && i == BODY_ELEMENT ? MAX_LONG_BULK_BYTES : MAX_BULK_BYTES;
        if (length > maxLength) {
            throw new ProtocolException("a value of at most " + maxLength + " bytes");
        }
        int withLineEnd = (int) length + LINE_END_BYTES;
        if (limit - position < withLineEnd) {
            requiredBytes = position - valueStart + withLineEnd;
            requiresLongBody = length > MAX_BULK_BYTES;
            return false;
        }
        setElement(i, position, position + (int) length);
        if (!isLineEnd(elementEnd[i])) {
            throw new ProtocolException("CR LF after a bulk string");
        }
        return true;
    }

    private boolean parseLineElement(int i) throws ProtocolException {
        int lineEnd = findLineEnd();
        if (lineEnd < 0) {
            return false;
        }
        setElement(i, position + 1, lineEnd);
        return true;
    }

    private boolean parseNullBulk(int i) throws ProtocolException {
        int lineEnd = findLineEnd();
        if (lineEnd < 0) {
            return false;
        }
        if (lineEnd - position != "$-1".length() || bytes[position + 2] != '1') {
            throw new ProtocolException("a length of 0 or more, or -1 for a null bulk string");
        }
        elementType[i] = NULL_TYPE;
        setElement(i, lineEnd, lineEnd);
        return true;
    }

    /** Records the element, and moves the position past the line end that follows it. */
    private void setElement(int i, int start, int end) {
        elementStart[i] = start;
        elementEnd[i] = end;
        position = end + LINE_END_BYTES;
    }

    private boolean isLineEnd(int index) {
        return bytes[index] == '\r' && bytes[index + 1] == '\n';
    }

    /**
     * Parses the length after the type character at the current position, and moves the position
     * past its line.
     *
     * @return the length, or -1 if its line is incomplete
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
                throw new ProtocolException("a length in decimal digits");
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
     * Parses the head of a response with a value: an array whose first element is a bulk string.
     * The length of the value is then returned by {@link #valueBytes}.
     *
     * @return the length of the head, after which the bytes of the value begin, or 0 if there is no
     *     such head or it is incomplete
     */
    public int parseValueHead(byte[] source, int from, int to) throws ProtocolException {
        setSource(source, from, to);
        if (position >= limit || bytes[position] != '*') {
            return 0;
        }
        long count = parseLength();
        if (count < 1 || count > MAX_ELEMENTS || position >= limit || bytes[position] != '$') {
            return 0;
        }
        elementCount = (int) count;
        valueBytes = isNegativeLength() ? -1 : parseLength();
        if (valueBytes < 0) {
            return 0;
        }
        if (valueBytes > MAX_LONG_BULK_BYTES) {
            throw new ProtocolException("a value of at most " + MAX_LONG_BULK_BYTES + " bytes");
        }
        return position - from;
    }

    /** Whether the value of a parsed head is too long to be parsed in one piece. */
    public boolean isLongValue() {
        return valueBytes > MAX_BULK_BYTES;
    }

    /**
     * After {@link #parse} returned 0: how many bytes the value needs up to the end of its first
     * incomplete bulk string, or 0 if that is unknown.
     */
    public int requiredBytes() {
        return requiredBytes;
    }

    /** After {@link #parse} returned 0: whether a long body is incomplete. */
    public boolean requiresLongBody() {
        return requiresLongBody;
    }

    public long valueBytes() {
        return valueBytes;
    }

    /**
     * Parses what follows the long value in an array: its line end and the other elements. The long
     * value itself is then represented by an empty element.
     *
     * @param elements the number of elements of the array, including the long value
     * @return the length of what follows the long value, or 0 if it is incomplete
     */
    public int parseAfterLongValue(int elements, byte[] source, int from, int to)
            throws ProtocolException {
        setSource(source, from, to);
        elementCount = elements;
        isArray = true;
        int available = limit - position;
        if (available >= 1 && bytes[position] != '\r'
                || available >= 2 && bytes[position + 1] != '\n') {
            throw new ProtocolException("CR LF after a bulk string");
        }
        elementType[0] = '$';
        setElement(0, position, position);
        if (position > limit) {
            return 0;
        }
        return parseElements(1) ? position - from : 0;
    }

    /** The byte array that was parsed last. */
    public byte[] bytes() {
        return bytes;
    }

    public boolean isArray() {
        return isArray;
    }

    public int elementCount() {
        return elementCount;
    }

    /** The type character of an element ('$', '+', '-' or ':'), or 0 for a null bulk string. */
    public byte type(int element) {
        return elementType[element];
    }

    /** The index of an element's content in {@link #bytes}. */
    public int offset(int element) {
        return elementStart[element];
    }

    public int length(int element) {
        return elementEnd[element] - elementStart[element];
    }

    public String text(int element) {
        return new String(
                bytes, elementStart[element], length(element), StandardCharsets.ISO_8859_1);
    }

    /** Whether the value is an array of bulk strings. */
    public boolean isCommand() {
        for (int i = 0; i < elementCount; i++) {
            if (elementType[i] != '$') {
                return false;
            }
        }
        return isArray;
    }
}
