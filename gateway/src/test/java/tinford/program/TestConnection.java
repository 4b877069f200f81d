package tinford.program;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import tinford.testing.Eventually;

/** The test's end of one connection with the gateway; reads line by line or value by value. */
final class TestConnection {
    final Socket socket;
    final InputStream in;

    /** Its reads fail after {@link Eventually#DEFAULT_TIMEOUT_MS}. */
    TestConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(Eventually.DEFAULT_TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    TestConnection send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    /** A line without its line end, or null when the connection was closed or reset. */
    String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        try {
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    return null;
                }
                line.append((char) c);
            }
        } catch (SocketException e) {
            return null;
        }
        return line.substring(0, line.length() - 1);
    }

    /**
     * A value: the text of a bulk string, the parts of an array separated by blanks, or the line as
     * it is; null when the connection was closed or reset.
     */
    String receive() throws IOException {
        String head = readLine();
        if (head == null || head.isEmpty() || head.equals("$-1")) {
            return head;
        }
        return switch (head.charAt(0)) {
            case '$' -> readBulk(Integer.parseInt(head.substring(1)));
            case '*' -> receiveArray(Integer.parseInt(head.substring(1)));
            default -> head;
        };
    }

    private String readBulk(int length) throws IOException {
        String text = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
        in.readNBytes("\r\n".length());
        return text;
    }

    private String receiveArray(int length) throws IOException {
        List<String> parts = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            parts.add(receive());
        }
        return String.join(" ", parts);
    }
}
