package tinford.protocol;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.regex.Pattern;
import tinford.transport.ConnectionBuffer;

/** A client's command: its fields, and its bytes, from which the command to a server is made. */
public final class ClientCommand {
    private static final int TERMS = 3;
    private static final int WHOLE = RespReader.MAX_VALUE_BYTES;
    private static final int PIECE = 32 << 10;
    private static final Pattern HEX = Pattern.compile("[0-9a-f]{16}");
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
    private final byte[] raw;
    private int termsHead;
    private int termsFrom;
    private int termsTo;
    private int timeFrom = -1;
    private int timeTo;

    /**
     * @param from where the command begins in the bytes, {@code n} how long it is
     */
    public ClientCommand(RespReader in, byte[] bytes, int from, int n) throws ProtocolException {
        String verb = in.text(0);
        retryable = verb.equals("Q.ASK");
        if (!retryable && !verb.equals("Q.DO")) {
            throw new ProtocolException("Q.ASK, Q.DO or PING");
        }
        int parts = in.parts();
        if (parts != 4 && (retryable || parts != 5)) {
            throw new ProtocolException(
                    "customer, id and terms" + (retryable ? "" : ", and a body at most"));
        }
        tenant = hex(in.text(1), "customer");
        if (tenant >>> 33 != 0) {
            throw new ProtocolException("a customer below 2^33");
        }
        id = hex(in.text(2), "id");
        raw = new byte[n];
        System.arraycopy(bytes, from, raw, 0, n);
        termsFrom = in.from(TERMS) - from;
        termsTo = termsFrom + in.length(TERMS);
        termsHead = termsFrom - 3;
        while (raw[termsHead] != '$') {
            termsHead--;
        }
        terms();
        if (requestClass == null || plan == null || timeoutMs < 0) {
            throw new ProtocolException("the terms c, t and d");
        }
    }

    private void terms() throws ProtocolException {
        Set<String> names = new HashSet<>();
        for (int at = termsFrom; at < termsTo; ) {
            int stop = at;
            while (stop < termsTo && raw[stop] != ',') {
                stop++;
            }
            int is = at;
            while (is < stop && raw[is] != '=') {
                is++;
            }
            if (is == stop) {
                throw new ProtocolException("terms as name=value,name=value");
            }
            String value = new String(raw, is + 1, stop - is - 1, StandardCharsets.ISO_8859_1);
            String name = new String(raw, at, is - at, StandardCharsets.ISO_8859_1);
            if (!names.add(name)) {
                throw new ProtocolException(
                        "each term once"); // else a server could read another one than was judged
                // here
            }
            switch (name) {
                case "c" -> requestClass = value;
                case "t" -> plan = value;
                case "d" -> {
                    timeoutMs = real(value, "d", 0, 1e9);
                    timeFrom = is + 1;
                    timeTo = stop;
                }
                case "units" -> units = real(value, "units", 1e-6, 1e9);
                case "spread" -> fanIn = whole(value, "spread", 1);
                case "first" -> firstGateway = whole(value, "first", 0);
                case "k" -> hasIdempotencyKey = !value.isEmpty();
                case "r" -> markedAsRetry = value.equals("1");
                default -> {}
            }
            at = stop + 1;
        }
    }

    private static double real(String value, String name, double least, double most)
            throws ProtocolException {
        double v = NumberParser.parse(value);
        if (v >= least && v <= most) {
            return v;
        }
        throw new ProtocolException(name + " from " + (long) least + " to " + (long) most);
    }

    private static int whole(String value, String name, int least) throws ProtocolException {
        double v = real(value, name, least, 1e6);
        if (v != Math.rint(v)) {
            throw new ProtocolException(name + " to be a whole number");
        }
        return (int) v;
    }

    private static long hex(String text, String name) throws ProtocolException {
        if (!HEX.matcher(text).matches()) {
            throw new ProtocolException(name + " of 16 hex digits");
        }
        return Long.parseUnsignedLong(text, 16);
    }

    public int length() {
        return raw.length;
    }

    /**
     * The same command, but for how long its sender will wait, in whole milliseconds.
     *
     * @return how much of it has been put, counted as {@link #length} counts: the rest of a long
     *     one follows in pieces
     */
    public int write(ConnectionBuffer to, long patience) {
        String time = Long.toString(patience);
        to.put(raw, 0, termsHead)
                .put("$")
                .put(termsTo - termsFrom - (timeTo - timeFrom) + time.length())
                .putLineEnd()
                .put(raw, termsFrom, timeFrom - termsFrom)
                .put(time);
        return write(to, timeTo);
    }

    /** The next piece, from there on. */
    public int write(ConnectionBuffer to, int at) {
        int n = raw.length - at <= WHOLE ? raw.length - at : PIECE;
        to.put(raw, at, n);
        return at + n;
    }
}
