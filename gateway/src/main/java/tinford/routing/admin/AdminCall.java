package tinford.routing.admin;

import tinford.protocol.HttpRequestHead;
import tinford.protocol.ProtocolException;
import tinford.transport.CloseReason;
import tinford.transport.Connection;
import tinford.transport.DescriptorBudget;
import tinford.transport.EventLoop;

/** A connection to the admin API, which serves a single HTTP call. */
final class AdminCall extends Connection {
    private static final double TIMEOUT_MS = 10_000;
    private static final int MAX_HEAD_BYTES = 16 << 10;
    private final AdminApi api;
    private boolean answered;

    AdminCall(AdminApi api, EventLoop loop) {
        super(loop, MAX_HEAD_BYTES, MAX_HEAD_BYTES);
        this.api = api;
        loop.schedule(TIMEOUT_MS, () -> close(CloseReason.RESPONSE_TIMEOUT));
    }

    @Override
    protected DescriptorBudget.PeerKind peerKind() {
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
                    HttpRequestHead.parse(buffer.bytes(), buffer.readIndex(), buffer.readLimit());
            if (call != null) {
                answer(api.handle(call));
            }
        } catch (ProtocolException e) {
            answer("400 Bad Request");
        }
    }

    private void answer(String status) {
        answered = true;
        buffer.consume(buffer.unreadBytes());
        buffer.put("HTTP/1.1 " + status + "\r\n")
                .put("Content-Type: text/plain\r\n")
                .put("Connection: close\r\n")
                .put("Content-Length: " + (status.length() + 1) + "\r\n\r\n")
                .put(status + "\n");
        closeGracefully(CloseReason.CLOSED_IDLE);
    }

    @Override
    protected void onClosed(CloseReason reason) {
        api.callEnded(this);
    }
}
