package tinford.program;

import java.io.IOException;

/** Texts of the protocols between the gateway and what surrounds it. */
final class Wire {
    private Wire() {}

    /** An array of bulk strings. */
    static String command(String... parts) {
        StringBuilder text = new StringBuilder("*" + parts.length + "\r\n");
        for (String part : parts) {
            text.append("$").append(part.length()).append("\r\n").append(part).append("\r\n");
        }
        return text.toString();
    }

    static String requestId(int n) {
        return String.format("%016x", n);
    }

    /** The terms of a request of plan free, which has no quota: the counter is not asked. */
    static String terms(String requestClass, String more) {
        return "c=" + requestClass + ",t=free,d=4000,units=1,spread=1,first=0" + more;
    }

    static String readCommand(int n) {
        return command("Q.ASK", requestId(7), requestId(n), terms("read", ""));
    }

    /** A read of plan paid, which has a quota: the counter is asked. */
    static String countedCommand(int n) {
        return command(
                "Q.ASK",
                requestId(9),
                requestId(n),
                "c=read,t=paid,d=4000,units=1,spread=1,first=0");
    }

    /** A server's answer with that value. */
    static String valueReply(String text) {
        return "*3\r\n$" + text.length() + "\r\n" + text + "\r\n$-1\r\n$-1\r\n";
    }

    /** The id of a request command, as {@link TestConnection#receive} has it. */
    static String idOf(String received) {
        return received.split(" ")[2];
    }

    /** Sends the text in pieces of that many bytes, each with a write of its own. */
    static void sendInPieces(TestConnection connection, String text, int pieceBytes)
            throws IOException {
        for (int at = 0; at < text.length(); at += pieceBytes) {
            connection.send(text.substring(at, Math.min(text.length(), at + pieceBytes)));
        }
    }

    /** Sends discovery's answer, or the next chunk of it. */
    static void sendChunk(TestConnection watch, String text, boolean isFirst) throws IOException {
        watch.send(
                (isFirst ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" : "")
                        + Integer.toHexString(text.length())
                        + "\r\n"
                        + text
                        + "\r\n");
    }
}
