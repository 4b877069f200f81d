package tinford.protocol;

import java.nio.charset.StandardCharsets;

/**
 * The head of one HTTP/1.1 call: method and path. What a call carries beside these is not looked
 * at.
 */
public final class HttpRequestHead {
    private static final int MOST_HEAD = 8 << 10;
    public final String method;
    public final String path;

    private HttpRequestHead(String method, String path) {
        this.method = method;
        this.path = path;
    }

    /** Null when more has to come. */
    public static HttpRequestHead read(byte[] b, int from, int to) throws ProtocolException {
        int stop = end(b, from, to);
        if (stop < 0) {
            if (to - from > MOST_HEAD) {
                throw new ProtocolException("a head of under " + MOST_HEAD + " bytes");
            }
            return null;
        }
        String head = new String(b, from, stop - from, StandardCharsets.ISO_8859_1);
        String[] words = head.substring(0, head.indexOf('\n')).strip().split(" ");
        if (words.length != 3 || !words[2].startsWith("HTTP/1.") || !words[1].startsWith("/")) {
            throw new ProtocolException("METHOD /path HTTP/1.1");
        }
        int query = words[1].indexOf('?');
        return new HttpRequestHead(words[0], query < 0 ? words[1] : words[1].substring(0, query));
    }

    /** Behind the first empty line; lines may end with or without the carriage return. */
    private static int end(byte[] b, int from, int to) {
        for (int i = from; i < to; i++) {
            if (b[i] == '\n'
                    && (i + 1 < to && b[i + 1] == '\n'
                            || i + 2 < to && b[i + 1] == '\r' && b[i + 2] == '\n')) {
                return i + 1;
            }
        }
        return -1;
    }
}
