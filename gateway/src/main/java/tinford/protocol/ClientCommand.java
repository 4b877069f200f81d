package tinford.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import java.util.regex.Pattern;
import tinford.transport.ConnectionBuffer;

/**
 * A client's request command: its fields, and its bytes, from which the command to a server is
 * built. On the wire the verb is followed by the customer (the tenant), the id and the terms
 * (name=value, separated by commas), and optionally by a body.
 */
public final class ClientCommand {
    private static final String READ_VERB = "Q.ASK";
    private static final String WRITE_VERB = "Q.DO";
    private static final int ELEMENT_COUNT = 4;
    private static final int ELEMENT_COUNT_WITH_BODY = 5;
    private static final int TERMS_ELEMENT = 3;
    private static final int TENANT_BITS = 33;
    private static final double MAX_TIMEOUT_MS = 1e9;
    private static final double MIN_UNITS = 1e-6;
    private static final double MAX_UNITS = 1e9;
    private static final double MAX_GATEWAYS = 1e6;

    /** The longest rest of a command that is put in one step; a longer one is put in chunks. */
    private static final int MAX_SINGLE_WRITE_BYTES = RespReader.MAX_VALUE_BYTES;

    private static final int WRITE_CHUNK_BYTES = 32 << 10;
    private static final Pattern HEX_ID = Pattern.compile("[0-9a-f]{16}");
    public final boolean retryable;
    public final long tenant;
    public final long id;
    public String requestClass;
    public String plan;
    public double timeoutMs = -1;
    public double units = 1;
    public int fanIn = 1;
    public int firstGateway;
    public boolean markedAsRetry;
    public boolean hasIdempotencyKey;

    /** The array that holds the command, or null once its bytes are released. */
    private byte[] raw;

    /** The index of the command in the array; all other positions are relative to it. */
    private int start;

    private final int length;

    /** The position of the length line ($ and digits) of the terms. */
    private final int termsLengthStart;

    private final int termsStart;
    private final int termsEnd;
    private int timeoutStart = -1;
    private int timeoutEnd;

    /**
     * Creates a command that refers to the given array until {@link #copyBytes} is called.
     *
     * @param parsed the elements of the command
     * @param from the index of the command in the array
     * @param length the length of the command in bytes
     * @throws ProtocolException if a field is missing or out of range
     */
    public ClientCommand(RespReader parsed, byte[] bytes, int from, int length)
            throws ProtocolException {
        retryable = isRetryable(parsed.text(0));
        checkElementCount(parsed.elementCount());
        tenant = parseTenant(parsed.text(1));
        id = parseId(parsed.text(2), "id");
        raw = bytes;
        start = from;
        this.length = length;
        termsStart = parsed.offset(TERMS_ELEMENT) - from;
        termsEnd = termsStart + parsed.length(TERMS_ELEMENT);
        termsLengthStart = lastIndexOf('$', termsStart - "$\r\n".length());
        parseTerms();
        if (requestClass == null || plan == null || timeoutMs < 0) {
            throw new ProtocolException("the terms c, t and d");
        }
    }

    private static boolean isRetryable(String verb) throws ProtocolException {
        return switch (verb) {
            case READ_VERB -> true;
            case WRITE_VERB -> false;
            default -> throw new ProtocolException("Q.ASK, Q.DO or PING");
        };
    }

    private void checkElementCount(int count) throws ProtocolException {
        if (count != ELEMENT_COUNT && (retryable || count != ELEMENT_COUNT_WITH_BODY)) {
            throw new ProtocolException(
                    "the arguments customer, id and terms"
                            + (retryable ? "" : ", and at most a body"));
        }
    }

    private static long parseTenant(String text) throws ProtocolException {
        long number = parseId(text, "customer");
        if (number >>> TENANT_BITS != 0) {
            throw new ProtocolException("a customer below 2^33");
        }
        return number;
    }

    private static long parseId(String text, String field) throws ProtocolException {
        if (!HEX_ID.matcher(text).matches()) {
            throw new ProtocolException(field + " of 16 hex digits");
        }
        return Long.parseUnsignedLong(text, 16);
    }

    private int lastIndexOf(char character, int last) {
        int index = last;
        while (raw[start + index] != character) {
            index--;
        }
        return index;
    }

    /** The first position of the character from {@code from} on, or {@code to} if there is none. */
    private int indexOf(char character, int from, int to) {
        int index = from;
        while (index < to && raw[start + index] != character) {
            index++;
        }
        return index;
    }

    private void parseTerms() throws ProtocolException {
        Set<String> names = new HashSet<>();
        int termStart = termsStart;
        while (termStart < termsEnd) {
            int end = indexOf(',', termStart, termsEnd);
            int equals = indexOf('=', termStart, end);
            if (equals == end) {
                throw new ProtocolException("terms as name=value,name=value");
            }
            String name = text(termStart, equals);
            // of two terms of the same name, a server might use the one that was not checked here
            if (!names.add(name)) {
                throw new ProtocolException("each term at most once");
            }
            setTerm(name, equals + 1, end);
            termStart = end + 1;
        }
    }

    private void setTerm(String name, int valueStart, int valueEnd) throws ProtocolException {
        String value = text(valueStart, valueEnd);
        switch (name) {
            case "c" -> requestClass = value;
            case "t" -> plan = value;
            case "d" -> {
                timeoutMs = parseNumber(value, name, 0, MAX_TIMEOUT_MS);
                timeoutStart = valueStart;
                timeoutEnd = valueEnd;
            }
            case "units" -> units = parseNumber(value, name, MIN_UNITS, MAX_UNITS);
            case "spread" -> fanIn = parseWholeNumber(value, name, 1);
            case "first" -> firstGateway = parseWholeNumber(value, name, 0);
            case "k" -> hasIdempotencyKey = !value.isEmpty();
            case "r" -> markedAsRetry = value.equals("1");
            default -> {
                // other terms are only interpreted by the server
            }
        }
    }

    private String text(int from, int to) {
        return new String(raw, start + from, to - from, StandardCharsets.ISO_8859_1);
    }

    private static double parseNumber(String value, String name, double min, double max)
            throws ProtocolException {
        double number = NumberParser.parse(value);
        if (number >= min && number <= max) {
            return number;
        }
        throw new ProtocolException(name + " from " + (long) min + " to " + (long) max);
    }

    private static int parseWholeNumber(String value, String name, int min)
            throws ProtocolException {
        double number = parseNumber(value, name, min, MAX_GATEWAYS);
        if (number != Math.rint(number)) {
            throw new ProtocolException(name + " to be a whole number");
        }
        return (int) number;
    }

    /** The length of the command in bytes, as received from the client. */
    public int length() {
        return length;
    }

    /** Copies the bytes, so that the array from which they were parsed can be reused. */
    public void copyBytes() {
        raw = Arrays.copyOfRange(raw, start, start + length);
        start = 0;
    }

    /** Releases the bytes; the command can't be written afterwards. */
    public void releaseBytes() {
        raw = null;
    }

    /**
     * Puts the command to a server into the buffer: the client's bytes, with another timeout.
     *
     * @return how many of the {@link #length} bytes were put; the rest of a long command is put
     *     with {@link #write(ConnectionBuffer, int)}
     */
    public int write(ConnectionBuffer target, long timeoutMsForServer) {
        String timeout = Long.toString(timeoutMsForServer);
        int oldTimeoutLength = timeoutEnd - timeoutStart;
        target.put(raw, start, termsLengthStart)
                .put("$")
                .put(termsEnd - termsStart - oldTimeoutLength + timeout.length())
                .putLineEnd()
                .put(raw, start + termsStart, timeoutStart - termsStart)
                .put(timeout);
        return write(target, timeoutEnd);
    }

    /**
     * Puts the next bytes of a long command into the buffer, from that position on.
     *
     * @return as for {@link #write(ConnectionBuffer, long)}
     */
    public int write(ConnectionBuffer target, int from) {
        int rest = length - from;
        int count = rest <= MAX_SINGLE_WRITE_BYTES ? rest : WRITE_CHUNK_BYTES;
        target.put(raw, start + from, count);
        return from + count;
    }
}
