package tinford.routing;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import tinford.protocol.HttpRequestHead;
import tinford.protocol.ProtocolException;
import tinford.transport.CloseReason;
import tinford.transport.Connection;
import tinford.transport.DescriptorBudget;
import tinford.transport.Listener;

/**
 * The operators' door: HTTP/1.1, one call to a connection. It has descriptors of its own, so that
 * no crowd shuts it.
 */
public final class AdminApi {
    private static final int SPARE = 4; // the oldest call that does not end gives way in time
    private static final double PATIENCE = 10_000;
    private static final int MOST_HEAD = 16 << 10;
    private static final double LOOK =
            50; // calls come through the other process as well; they hold within a second
    private final RequestDispatcher desk;
    private final ServerPool servers;
    private final HandoverLog record;
    private final int most;
    private final ArrayDeque<Call> calls = new ArrayDeque<>();
    private boolean ready = true;

    /**
     * @param record that the gateway's other process reads as well, or null
     * @param most connections at once, four at least
     */
    public AdminApi(RequestDispatcher desk, ServerPool servers, HandoverLog record, int most) {
        this.desk = desk;
        this.servers = servers;
        this.record = record;
        this.most = most;
    }

    /** Within a turn, before the first list. */
    public void begin() {
        follow();
        look();
    }

    public void listen(InetSocketAddress at) throws IOException {
        new Listener(
                desk.loop,
                at,
                false,
                most,
                () -> {
                    if (calls.size() >= most - Math.min(SPARE, most / 4)) {
                        calls.peek().close(CloseReason.CLOSED_IDLE);
                    }
                    return new Call();
                });
    }

    /** This process takes no more clients. */
    public void leaving() {
        ready = false;
    }

    private void look() {
        follow();
        desk.loop.schedule(LOOK, this::look);
    }

    private void follow() {
        try {
            if (record != null) {
                record.news().forEach(servers::ban);
            }
        } catch (IOException e) {
            desk.complain(Level.WARNING, "the operators' record", "", e);
        }
    }

    /** What is said of it: a status line without the version. */
    private String answer(HttpRequestHead call) {
        String[] parts = call.path.split("/");
        if (call.path.equals("/v1/readyz")) {
            return !call.method.equals("GET")
                    ? "405 Method Not Allowed"
                    : ready ? "200 OK" : "503 Service Unavailable";
        }
        if (parts.length != 5
                || !call.path.startsWith("/v1/servers/")
                || !parts[4].equals("suspend") && !parts[4].equals("resume")) {
            return "404 Not Found";
        }
        if (!call.method.equals("POST")) {
            return "405 Method Not Allowed";
        }
        if (!servers.knows(parts[3])) {
            return "404 Not Found";
        }
        String line = ServerExclusions.line(parts[3], parts[4].equals("suspend"), desk.now);
        try {
            if (record != null) {
                record.add(line);
                follow();
            } else {
                servers.ban(line);
            }
        } catch (IOException e) {
            desk.complain(Level.WARNING, "the operators' record", "", e);
            return "500 Internal Server Error"; // a yes would not outlive this process
        }
        return "200 OK";
    }

    private final class Call extends Connection {
        private boolean answered;

        Call() {
            super(desk.loop, MOST_HEAD, MOST_HEAD);
            calls.add(this);
            desk.loop.schedule(PATIENCE, () -> close(CloseReason.RESPONSE_TIMEOUT));
        }

        @Override
        protected DescriptorBudget.PeerKind party() {
            return DescriptorBudget.PeerKind.ADMINS;
        }

        @Override
        protected void onOpened() {}

        @Override
        protected void onReceived() {
            if (answered) {
                return;
            }
            try {
                HttpRequestHead call =
                        HttpRequestHead.parse(
                                buffer.bytes(), buffer.readIndex(), buffer.readLimit());
                if (call != null) {
                    say(answer(call));
                }
            } catch (ProtocolException e) {
                say("400 Bad Request");
            }
        }

        private void say(String status) {
            answered = true;
            buffer.consume(buffer.unreadBytes());
            buffer.put(
                    "HTTP/1.1 "
                            + status
                            + "\r\n"
                            + "Content-Type: text/plain\r\n"
                            + "Connection: close\r\n"
                            + "Content-Length: "
                            + (status.length() + 1)
                            + "\r\n\r\n"
                            + status
                            + "\n");
            closeGracefully(CloseReason.CLOSED_IDLE);
        }

        @Override
        protected void onClosed(CloseReason how) {
            calls.remove(this);
        }
    }
}
