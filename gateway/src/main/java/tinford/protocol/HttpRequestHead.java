package tinford.protocol;

import java.nio.charset.StandardCharsets;

/** The method and path of an HTTP/1.1 request; query, header fields and body are ignored. */
public final class HttpRequestHead {
    private static final int MAX_HEAD_BYTES = 8 << 10;
    private static final int REQUEST_LINE_PARTS = 3;
    public final String method;

    /** Without the query. */
    public final String path;

    private HttpRequestHead(String method, String path) {
        this.method = method;
        this.path = path;
    }

    /** Parses the request head at the start of the range; returns null while it is incomplete. */
    public static HttpRequestHead parse(byte[] bytes, int from, int to) throws ProtocolException {
        int end = endOfHead(bytes, from, to);
        if (end >= 0) {
            return parseHead(new String(bytes, from, end - from, StandardCharsets.ISO_8859_1));
        }
        if (to - from > MAX_HEAD_BYTES) {
            throw new ProtocolException("a request head of under " + MAX_HEAD_BYTES + " bytes");
        }
        return null;
    }

    private static HttpRequestHead parseHead(String head) throws ProtocolException {
        String[] parts = head.substring(0, head.indexOf('\n')).strip().split(" ");
        if (parts.length != REQUEST_LINE_PARTS
                || !parts[2].startsWith("HTTP/1.")
                || !parts[1].startsWith("/")) {
            throw new ProtocolException("METHOD /path HTTP/1.1");
        }
        String target = parts[1];
        int query = target.indexOf('?');
        return new HttpRequestHead(parts[0], query < 0 ? target : target.substring(0, query));
    }

    /** The index after the last header line, or -1; lines may end with LF or CR LF. */
    private static int endOfHead(byte[] bytes, int from, int to) {
        for (int i = from; i < to; i++) {
            if (bytes[i] == '\n' && isEmptyLine(bytes, i + 1, to)) {
                return i + 1;
            }
        }
        return -1;
    }

    private static boolean isEmptyLine(byte[] bytes, int from, int to) {
        return from < to && bytes[from] == '\n'
                || from + 1 < to && bytes[from] == '\r' && bytes[from + 1] == '\n';
    }
}
