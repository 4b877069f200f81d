package tinford.lab.sockets;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection, read value by value; what is said on it is said whole. */
final class RespConnection implements AutoCloseable {
    private static final int MOST = 4 << 20;
    final Socket socket;
    private final InputStream in;

    RespConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream(), 1 << 14);
    }

    static String command(String... words) {
        StringBuilder s = new StringBuilder("*").append(words.length).append("\r\n");
        for (String w : words) {
            s.append('$').append(w.length()).append("\r\n").append(w).append("\r\n");
        }
        return s.toString();
    }

    synchronized void say(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Whether more has come than was read. */
    boolean waits() throws IOException {
        return in.available() > 0;
    }

    /** Without its end; null where the connection has ended between two. */
    String line() throws IOException {
        StringBuilder s = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                if (s.isEmpty()) {
                    return null;
                }
                throw new EOFException("within a line");
            }
            s.append((char) c);
        }
        int n = s.length();
        return s.substring(0, n > 0 && s.charAt(n - 1) == '\r' ? n - 1 : n);
    }

    /** The words of a command, or null at the end. */
    String[] words() throws IOException {
        String head = line();
        if (head == null) {
            return null;
        }
        if (!head.startsWith("*")) {
            throw new IOException("expected an array, not " + head);
        }
        String[] words = new String[Integer.parseInt(head.substring(1))];
        for (int i = 0; i < words.length; i++) {
            words[i] = bulk(line());
        }
        return words;
    }

    /** An answer: the text of a bulk string, or the line as it is; null at the end. */
    String answer() throws IOException {
        String head = line();
        return head != null && head.startsWith("$") ? "$" + bulk(head) : head;
    }

    private String bulk(String head) throws IOException {
        int n = Integer.parseInt(head.substring(1));
        if (n < 0 || n > MOST) {
            throw new IOException("expected a length up to " + MOST + ", not " + n);
        }
        byte[] b = in.readNBytes(n);
        if (b.length < n || in.read() < 0 || in.read() < 0) {
            throw new EOFException("within a value");
        }
        return new String(b, StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // it is closed all the same
        }
    }
}
